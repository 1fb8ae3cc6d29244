package org.apricotdeal.proofs.relay;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that a refusal tells the caller when to retry; callers without the header all retry at times of their own. */
public final class RefusalTest {
    private static final Pattern RETRY_AFTER = Pattern.compile("Retry-After: (\\d+\\.\\d{3})\r\n");

    private RelayFleet fleet;

    @BeforeClass
    public void start() throws Exception {
        fleet = RelayFleet.serving(1, 1);
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @Test
    public void refusalNamesTheTimeToRetry() {
        fleet.store.remove("servers/s0");
        RelayFleet.await(5, () -> fleet.call("POST", "/book/x", "r" + System.nanoTime(), RelayFleet.KEY)
                .startsWith("HTTP/1.1 503"));
        String answer = fleet.call("POST", "/book/x", "refused", RelayFleet.KEY);
        Matcher header = RETRY_AFTER.matcher(answer);
        assertTrue(header.find(), answer);
        assertTrue(Double.parseDouble(header.group(1)) > 0, answer);
    }
}
