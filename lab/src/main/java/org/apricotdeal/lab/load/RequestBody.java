package org.apricotdeal.lab.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The bodies of a run's requests; each is a function of the plan's seed and the request's number. */
final class RequestBody {
    private static final String FILLER = "balustrade lantern clamp handrail wick frame ";

    private RequestBody() {}

    /** A prompt with the beginning that its prefix group shares, and an end of its own. */
    static String prompt(LoadPlan plan, Arrival arrival, Work.Completions work) {
        String beginning = work.common().name() + "-" + arrival.prefix() + " ";
        String end = " " + plan.seed() + "-" + arrival.number();
        int fillerChars = Math.max(0, work.promptChars() - beginning.length() - end.length());
        String filler = FILLER.repeat(fillerChars / FILLER.length() + 1).substring(0, fillerChars);
        return beginning + filler + end;
    }

    static ObjectNode completion(LoadPlan plan, Arrival arrival, Work.Completions work, boolean isDirect) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("model", work.common().upstream());
        body.put("prompt", prompt(plan, arrival, work));
        body.put("max_tokens", work.maxTokens());
        body.put("stream", true);
        if (isDirect) {
            body.put("priority", 0);
            body.put("request_id", bookingKey(plan, arrival));
            body.putArray("generated");
        }
        return body;
    }

    static ObjectNode booking(LoadPlan plan, Arrival arrival) {
        return JsonNodeFactory.instance.objectNode().put("booking", bookingKey(plan, arrival));
    }

    static String bookingKey(LoadPlan plan, Arrival arrival) {
        return plan.name() + "-" + plan.seed() + "-" + arrival.number();
    }
}
