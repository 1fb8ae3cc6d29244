package org.apricotdeal.standins;

import java.util.Optional;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.settings.SectionReader;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.standins.engine.EngineSettings;
import org.apricotdeal.standins.service.ServiceSettings;

/**
 * Settings of a VM: how the platform lists it, and what runs on it.
 *
 * @param vm the VM as the platform lists it
 * @param initial whether the VM list shows it at first
 * @param host address to listen on
 * @param port port to listen on
 * @param isHosted false where another process hosts it
 * @param workload what runs on it
 */
public record VmSettings(Vm vm, Initial initial, String host, int port, boolean isHosted, Workload workload) {
    private static final int MAX_PORT = 65_535;
    private static final long MAX_ACCELERATORS = 1_024;

    /** What runs on a VM. */
    public sealed interface Workload {}

    /**
     * A model engine.
     *
     * @param settings its settings
     */
    public record Engine(EngineSettings settings) implements Workload {}

    /**
     * A plain service.
     *
     * @param settings its settings
     */
    public record Service(ServiceSettings settings) implements Workload {}

    /** The system itself; the stand-ins only list the VM. */
    public record EntryNode() implements Workload {}

    /** Whether and how the VM list shows a VM at first. */
    public enum Initial {
        /** Shown as live. */
        LIVE,
        /** Shown as leaving. */
        LEAVING,
        /** Not shown until its state is set. */
        ABSENT
    }

    /** Names of what can run on a VM. */
    private enum Kind {
        ENGINE,
        SERVICE,
        ENTRY
    }

    /**
     * Reads the settings.
     *
     * @param name the VM's name
     * @param reader reader of the section {@code vm NAME}
     * @return the settings
     */
    static VmSettings read(String name, SectionReader reader) {
        Kind kind = reader.enumValue("kind", Kind.ENGINE, Kind.class);
        String host = reader.text("host", "127.0.0.1");
        int port = (int) reader.integer("port", null, 1, MAX_PORT);
        Initial initial = reader.enumValue("state", Initial.LIVE, Initial.class);
        String failureDomain = reader.name("failureDomain", null);
        Vm vm = new Vm(
                new VmId(name),
                new FailureDomainId(failureDomain),
                new FabricDomainId(reader.name("fabricDomain", failureDomain)),
                new UpstreamId(kind == Kind.ENTRY ? reader.name("upstream", "entry") : reader.name("upstream", null)),
                host + ":" + port,
                (int) reader.integer("accelerators", kind == Kind.ENGINE ? 8L : 0L, 0, MAX_ACCELERATORS),
                initial == Initial.LEAVING ? VmState.LEAVING : VmState.LIVE);
        boolean isHosted = reader.bool("hosted", true) && kind != Kind.ENTRY;
        return new VmSettings(vm, initial, host, port, isHosted, workload(kind, reader));
    }

    private static Workload workload(Kind kind, SectionReader reader) {
        return switch (kind) {
            case ENGINE -> new Engine(EngineSettings.read(reader));
            case SERVICE -> new Service(ServiceSettings.read(reader));
            case ENTRY -> new EntryNode();
        };
    }

    /**
     * Returns the time after which idle connections are closed.
     *
     * @return milliseconds, nothing where the stand-ins do not host the VM
     */
    Optional<Long> idleTimeoutMillis() {
        return switch (workload) {
            case Engine(EngineSettings settings) -> Optional.of(settings.idleTimeoutMillis());
            case Service(ServiceSettings settings) -> Optional.of(settings.idleTimeoutMillis());
            case EntryNode() -> Optional.empty();
        };
    }
}
