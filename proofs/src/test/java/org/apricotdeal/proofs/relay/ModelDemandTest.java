package org.apricotdeal.proofs.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.policy.ModelDemand;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** VMs are divided between models by what callers ask for, whether it is served or refused. */
public final class ModelDemandTest {
    private static final UpstreamId UPSTREAM = new UpstreamId("chat");
    private static final ModelId LARGE = new ModelId("m0");
    private static final ModelId SMALL = new ModelId("m1");
    private static final double MANY = 100_000;

    /**
     * Requests counted, slots wanted of the large model (4 VMs a replica of 12 slots) and of the small one (2 VMs), share
     * of the large model; the configuration says a half each.
     *
     * @return the rows
     */
    @DataProvider
    public Object[][] demands() {
        return new Object[][] {
            {MANY, 12, 24, 0.5},
            {MANY, 12, 72, 0.25},
            {MANY, 36, 24, 0.75},
            {MANY, 0, 24, 0.125},
            {MANY, 0, 0, 0.5},
            {0, 36, 24, 0.5},
            {50, 36, 24, 0.625},
        };
    }

    /**
     * Checks a row.
     *
     * @param counted requests counted
     * @param large slots wanted of the large model
     * @param small slots wanted of the small model
     * @param share expected share of the large model
     */
    @Test(dataProvider = "demands")
    public void sharesFollowWhatIsAsked(double counted, double large, double small, double share) {
        Map<QueueId, QueueDemand> demand = new HashMap<>();
        demand.put(line(LARGE), demand(counted / 2, large));
        demand.put(line(SMALL), demand(counted / 2, small));
        EngineProfile engine = SimFleet.Shape.SMALL.engine();
        assertEquals(ModelDemand.of(UPSTREAM, engine, demand).shares().get(LARGE), share, 0.001);
    }

    @Test
    public void nothingKnownLeavesTheConfiguredShares() {
        ModelDemand demand = ModelDemand.of(UPSTREAM, SimFleet.Shape.SMALL.engine(), Map.of());
        assertEquals(demand.shares(), Map.of(LARGE, 0.5, SMALL, 0.5));
        assertEquals(demand.refusingModels(), Set.of());
    }

    /** Callers who are refused count once, however often they come back. */
    @Test
    public void refusedRequestsAreAskedForAndCountedByPriority() {
        RelayFixture relay = new RelayFixture();
        relay.targets(RelayFixture.target("v1", 1));
        for (int i = 0; i < 20; i++) {
            relay.arrive(RetrySafety.STREAM);
            relay.pass(500);
        }
        QueueDemand demand = relay.dispatcher.demandByQueue(relay.nowMillis).get(RelayFixture.LINE);
        assertEquals(demand.newRequestsPerSecond(), 2, 0.3, demand.toString());
        assertTrue(demand.refusedPerSecond().get(1) > 1, demand.toString());
    }

    /** Single refusals, as with every loss, do not make a model short. */
    @Test
    public void modelIsShortWhereMoreThanAFewAreRefused() {
        Map<QueueId, QueueDemand> demand = new HashMap<>();
        demand.put(line(LARGE), new QueueDemand(MANY, 10, new TreeMap<>(Map.of(1, 0.4)), 1_000, 100, 0));
        demand.put(line(SMALL), new QueueDemand(MANY, 10, new TreeMap<>(Map.of(0, 0.4, 2, 0.4)), 1_000, 100, 0));
        EngineProfile engine = SimFleet.Shape.SMALL.engine();
        assertEquals(ModelDemand.of(UPSTREAM, engine, demand).refusingModels(), Set.of(SMALL));
    }

    private static QueueId line(ModelId model) {
        return new QueueId(UPSTREAM, Optional.of(model));
    }

    private static QueueDemand demand(double counted, double wantedSlots) {
        return new QueueDemand(counted, wantedSlots, new TreeMap<>(), 1_000, 100, 0);
    }
}
