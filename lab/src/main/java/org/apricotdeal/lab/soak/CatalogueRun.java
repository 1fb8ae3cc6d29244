package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.misc.InvariantViolation;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.policy.spread.SpreadFault;
import org.apricotdeal.policy.spread.SpreadSettings;

/**
 * A randomised run of the catalogue's spread: operators race, nodes die, pause and restart, failure domains are cut off
 * from each other and from the platform, and the platform is away, slow and loses replies. Every version that a node puts
 * in force must be one that the platform accepted and higher than the last; after healing each accepted change must be in
 * force everywhere within 11 s, also in a failure domain that is then cut off from the platform alone.
 */
public final class CatalogueRun implements RandomisedRun {
    private static final String COMMAND =
            "java -cp tool/target/apricotdeal-tool-0.1.0-all.jar " + "org.apricotdeal.lab.soak.CatalogueSoak --seeds ";
    private static final int NODES = 9;
    private static final int DOMAINS = 3;
    private static final int ENTRIES = 12;
    private static final long IN_FORCE_MILLIS = 11_000;
    private static final long FAULTS_UNTIL_MILLIS = 60_000;
    private static final long LAST_CHANGE_MILLIS = 90_000;
    private static final long CUT_AFTER_HEALING_MILLIS = 12_000;
    private static final int TRACE_LINES = 150;

    private final SpreadFault fault;

    /** Creates a run without deliberate faults of the decisions. */
    public CatalogueRun() {
        this(SpreadFault.NONE);
    }

    /**
     * Creates a run with a deliberate fault, to test its checks.
     *
     * @param fault the fault
     */
    public CatalogueRun(SpreadFault fault) {
        this.fault = fault;
    }

    @Override
    public String run(long seed) {
        SpreadWorld world = new SpreadWorld(seed, NODES, DOMAINS, settings(), fault);
        try {
            return new Course(world).run();
        } catch (InvariantViolation violation) {
            throw new RunFailure(seed, violation, world.trace().about("", TRACE_LINES), COMMAND + seed);
        }
    }

    /** Keeps few versions, so that whole catalogues are sent too. */
    private static SpreadSettings settings() {
        SpreadSettings d = SpreadSettings.DEFAULT;
        return new SpreadSettings(
                d.watchersPerDomain(),
                d.watchMillis(),
                d.callTimeoutMillis(),
                d.retryMillis(),
                d.domainPollMillis(),
                d.minPollMillis(),
                d.collectMillis(),
                d.peerTimeoutMillis(),
                4);
    }

    /** The course of one run. */
    private static final class Course {
        private final SpreadWorld world;
        private final UniformRandomProvider random;
        private final List<SpreadNode> nodes = new ArrayList<>();
        private boolean faulty = true;
        private long adoptions;
        private long latestMillis;

        Course(SpreadWorld world) {
            this.world = world;
            this.random = world.scheduler().random();
            world.nodes().forEach(nodes::add);
            world.onAdopted(node -> adoptions++);
        }

        String run() {
            world.change("operator-0", ENTRIES);
            nodes.forEach(SpreadNode::boot);
            changeLater("operator-0");
            changeLater("operator-1");
            world.damageShare(0.05);
            injectLater();
            world.scheduler().runUntil(FAULTS_UNTIL_MILLIS);
            heal();
            world.scheduler().after(CUT_AFTER_HEALING_MILLIS, () -> cutDomainFromPlatform(LAST_CHANGE_MILLIS));
            world.scheduler().every(100, this::checkInForce);
            world.scheduler().runUntil(LAST_CHANGE_MILLIS + IN_FORCE_MILLIS + 200);
            world.checkToldAreAccepted();
            return world.scheduler().executed() + " steps, " + world.newestAccepted() + " versions, " + adoptions
                    + " adoptions, " + world.restartReverts()
                    + " lower than before a restart; after healing in force everywhere after at most " + latestMillis
                    + " ms";
        }

        private void changeLater(String operator) {
            world.scheduler().after(200 + random.nextLong(1_500), () -> {
                if (world.scheduler().monotonicMillis() < LAST_CHANGE_MILLIS) {
                    world.change(operator, ENTRIES);
                    changeLater(operator);
                }
            });
        }

        /** Checks every version accepted since the healing, or the newest one of before. */
        private void checkInForce() {
            long nowMillis = world.scheduler().monotonicMillis();
            long lowest = nodes.stream().mapToLong(SpreadNode::version).min().orElse(0);
            world.acceptedAtMillis().forEach((version, atMillis) -> {
                long ageMillis = nowMillis - Math.max(atMillis, FAULTS_UNTIL_MILLIS);
                if (version > lowest) {
                    latestMillis = Math.max(latestMillis, ageMillis);
                    Invariants.check(
                            ageMillis <= IN_FORCE_MILLIS,
                            "catalogue-in-force",
                            () -> "version " + version + " is not in force everywhere after " + ageMillis + " ms");
                }
            });
        }

        private void heal() {
            faulty = false;
            world.damageShare(0);
            world.network().faults(0, 0);
            world.network().healAll();
            world.store().away(false);
            world.store().slow(0);
            world.store().lostReplies(0);
            nodes.forEach(node -> world.network().paused(node.name(), false));
            world.trace().add("", "all is healed");
        }

        private void injectLater() {
            world.scheduler().after(100 + random.nextLong(900), () -> {
                if (faulty) {
                    inject();
                    injectLater();
                }
            });
        }

        private void inject() {
            SpreadNode node = nodes.get(random.nextInt(NODES));
            long forMillis = random.nextLong(6_000);
            switch (random.nextInt(9)) {
                case 0, 1 -> node.kill(forMillis / 2);
                case 2 ->
                    during(node.name() + " is paused", forMillis, on -> world.network()
                            .paused(node.name(), on));
                case 3 -> cutDomainFromPlatform(forMillis);
                case 4 -> cutDomainsApart(forMillis);
                case 5 -> during("platform is away", forMillis, world.store()::away);
                case 6 ->
                    during("platform is slow", forMillis, on -> world.store().slow(on ? 900 : 0));
                case 7 ->
                    during("platform loses replies", forMillis, on -> world.store()
                            .lostReplies(on ? 0.6 : 0));
                case 8 ->
                    during("network loses and repeats", forMillis, on -> world.network()
                            .faults(on ? 0.2 : 0, on ? 0.3 : 0));
                default -> throw new IllegalStateException();
            }
        }

        private void cutDomainFromPlatform(long forMillis) {
            FailureDomainId domain = world.random(world.domains());
            during(domain + " is cut from the platform", forMillis, on -> {
                for (SpreadNode node : world.nodesOf(domain)) {
                    cut(node.name(), SimStore.ACTOR, on);
                }
            });
        }

        private void cutDomainsApart(long forMillis) {
            FailureDomainId one = world.random(world.domains());
            during(one + " is cut from the others", forMillis, on -> {
                for (SpreadNode node : world.nodesOf(one)) {
                    for (SpreadNode other : nodes) {
                        if (!other.self().failureDomain().equals(one)) {
                            cut(node.name(), other.name(), on);
                        }
                    }
                }
            });
        }

        private void cut(String one, String other, boolean on) {
            world.network().cut(one, other, on);
            world.network().cut(other, one, on);
        }

        private void during(String text, long forMillis, Consumer<Boolean> change) {
            world.trace().add("", text + " for " + forMillis + " ms");
            change.accept(true);
            world.scheduler().after(forMillis, () -> {
                world.trace().add("", "no more: " + text);
                change.accept(false);
            });
        }
    }
}
