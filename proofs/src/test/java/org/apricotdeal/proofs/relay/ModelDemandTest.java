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

/** Checks that VMs are divided between models by demand, whether it is served or refused. */
public final class ModelDemandTest {
    private static final UpstreamId UPSTREAM = new UpstreamId("chat");
    private static final ModelId LARGE = new ModelId("m0");
    private static final ModelId SMALL = new ModelId("m1");
    private static final double MANY = 100_000;

    /**
     * Provides the sample weight, the slots required by the large model (4 VMs per replica of 12 slots) and by the
     * small model (2 VMs per replica), and the expected share of the large model. The configured shares are one half
     * each.
     *
     * @return rows of test data
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
     * Compares the derived share with the expected one.
     *
     * @param sampleWeight number of counted requests
     * @param large slots required by the large model
     * @param small slots required by the small model
     * @param share expected share of the large model
     */
    @Test(dataProvider = "demands")
    public void sharesFollowDemand(double sampleWeight, double large, double small, double share) {
        Map<QueueId, QueueDemand> demand = new HashMap<>();
        demand.put(queueId(LARGE), demand(sampleWeight / 2, large));
        demand.put(queueId(SMALL), demand(sampleWeight / 2, small));
        EngineProfile engine = SimFleet.Shape.SMALL.engine();
        assertEquals(ModelDemand.of(UPSTREAM, engine, demand).shares().get(LARGE), share, 0.001);
    }

    @Test
    public void missingDemandKeepsConfiguredShares() {
        ModelDemand demand = ModelDemand.of(UPSTREAM, SimFleet.Shape.SMALL.engine(), Map.of());
        assertEquals(demand.shares(), Map.of(LARGE, 0.5, SMALL, 0.5));
        assertEquals(demand.refusingModels(), Set.of());
    }

    /** Refused callers count once as demand, however often they return. */
    @Test
    public void demandCountsRefusedCallersOnce() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(RelayFixture.target("v1", 1));
        for (int i = 0; i < 20; i++) {
            relay.arrive(RetrySafety.STREAM);
            relay.advance(500);
        }
        QueueDemand demand = relay.dispatcher.demandByQueue(relay.nowMillis).get(RelayFixture.QUEUE);
        assertEquals(demand.newRequestsPerSecond(), 2, 0.3, demand.toString());
        assertTrue(demand.refusedPerSecond().get(1) > 1, demand.toString());
    }

    /** Occasional refusals, which each loss causes, do not mean that a model lacks replicas. */
    @Test
    public void modelNeedsReplicasAboveRefusalRatio() {
        Map<QueueId, QueueDemand> demand = new HashMap<>();
        demand.put(queueId(LARGE), new QueueDemand(MANY, 10, new TreeMap<>(Map.of(1, 0.4)), 1_000, 100, 0));
        demand.put(queueId(SMALL), new QueueDemand(MANY, 10, new TreeMap<>(Map.of(0, 0.4, 2, 0.4)), 1_000, 100, 0));
        EngineProfile engine = SimFleet.Shape.SMALL.engine();
        assertEquals(ModelDemand.of(UPSTREAM, engine, demand).refusingModels(), Set.of(SMALL));
    }

    private static QueueId queueId(ModelId model) {
        return new QueueId(UPSTREAM, Optional.of(model));
    }

    private static QueueDemand demand(double sampleWeight, double requiredSlots) {
        return new QueueDemand(sampleWeight, requiredSlots, new TreeMap<>(), 1_000, 100, 0);
    }
}
