package org.apricotdeal.proofs.load;

import java.util.List;

import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.lab.load.Arrival;
import org.apricotdeal.lab.load.ArrivalSchedule;
import org.apricotdeal.lab.load.LoadPlan;
import org.apricotdeal.lab.load.LoadReader;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Tests that arrivals are a function of the seed and come at the planned rate. */
public final class ArrivalScheduleTest {
    private static LoadPlan plan(long seed) {
        Findings findings = new Findings();
        String ini = """
                [load]
                seed = %d
                durationMillis = 100000
                nodes = n:1

                [completions drafts]
                caller = alpenbau
                key = sample-key-alpenbau
                class = urgent
                upstream = quote
                requestsPerSecond = 50
                inTimeMillis = 760
                deadlineMillis = 5000

                [bookings surveys]
                caller = moser
                key = sample-key-moser
                class = bookings
                upstream = desk
                requestsPerSecond = 10
                inTimeMillis = 1000
                deadlineMillis = 5000
                """.formatted(seed);
        LoadPlan plan = LoadReader.read(IniFile.parse("load.ini", ini, findings), findings);
        assertEquals(findings.toString(), "");
        return plan;
    }

    @Test
    public void sameSeedGivesSameArrivals() {
        assertEquals(ArrivalSchedule.of(plan(3)), ArrivalSchedule.of(plan(3)));
        assertNotEquals(ArrivalSchedule.of(plan(3)), ArrivalSchedule.of(plan(4)));
    }

    @Test
    public void arrivalsComeInOrderAtThePlannedRate() {
        List<Arrival> arrivals = ArrivalSchedule.of(plan(3));
        for (int i = 1; i < arrivals.size(); i++) {
            assertTrue(arrivals.get(i).atMicros() >= arrivals.get(i - 1).atMicros());
            assertEquals(arrivals.get(i).number(), i);
        }
        long drafts = arrivals.stream()
                .filter(arrival -> arrival.work().common().name().equals("drafts"))
                .count();
        assertTrue(Math.abs(drafts - 5_000) < 350, "expected about 5000 drafts, found " + drafts);
        assertTrue(Math.abs(arrivals.size() - drafts - 1_000) < 160, "expected about 1000 bookings");
    }
}
