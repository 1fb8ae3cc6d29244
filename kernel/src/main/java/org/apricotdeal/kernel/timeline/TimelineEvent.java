package org.apricotdeal.kernel.timeline;

import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.time.HybridTime;

/**
 * One event on a process's timeline.
 *
 * @param time hybrid logical time of the event
 * @param process name of the process that recorded the event
 * @param message kind of event
 * @param text the message's text with its arguments filled in
 * @param catalogueVersion catalogue version in force at the time, or 0 if none was
 * @param planVersion plan version in force at the time, or 0 if none was
 */
public record TimelineEvent(
        HybridTime time, String process, Message message, String text, long catalogueVersion, long planVersion) {
    @Override
    public String toString() {
        return time + " " + process + " AD" + message.code() + " [catalogue " + catalogueVersion + ", plan "
                + planVersion + "] " + text;
    }
}
