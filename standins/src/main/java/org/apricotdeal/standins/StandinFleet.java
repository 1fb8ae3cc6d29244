package org.apricotdeal.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.message.SourceLocation;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.standins.platform.PlatformSettings;
import org.apricotdeal.standins.platform.PlatformStandin;
import org.apricotdeal.standins.server.StandinThreads;

/** The stand-ins that one process hosts. */
public final class StandinFleet implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final StandinThreads threads = new StandinThreads();
    private final FleetSettings settings;
    private final Map<VmId, HostedVm> vms = new LinkedHashMap<>();
    private PlatformStandin platform;

    private StandinFleet(FleetSettings settings) {
        this.settings = settings;
    }

    /**
     * Starts all stand-ins of a file that are not hosted elsewhere.
     *
     * @param file the settings
     * @param findings takes what is wrong with them
     * @return the running stand-ins, nothing where the settings have errors
     */
    public static Optional<StandinFleet> start(IniFile file, Findings findings) {
        return start(file, Set.of(), findings);
    }

    /**
     * Starts some stand-ins of a file.
     *
     * @param file the settings
     * @param only names of the platform and VMs to host; empty for all that are not hosted elsewhere
     * @param findings takes what is wrong with them
     * @return the running stand-ins, nothing where the settings have errors
     */
    public static Optional<StandinFleet> start(IniFile file, Set<String> only, Findings findings) {
        FleetSettings settings = FleetSettings.read(file, findings);
        for (String name : only) {
            boolean isKnown = name.equals(settings.platformName())
                    || settings.vms().stream()
                            .anyMatch(vm -> vm.vm().id().value().equals(name));
            if (!isKnown) {
                findings.add(
                        Message.SETTING_INVALID,
                        new SourceLocation(file.name(), 0, 0, ""),
                        name,
                        "a platform or VM of the file");
            }
        }
        if (findings.hasErrors()) {
            return Optional.empty();
        }
        StandinFleet fleet = new StandinFleet(settings);
        try {
            fleet.startAll(only);
        } catch (IllegalStateException e) {
            fleet.close();
            throw e;
        }
        return Optional.of(fleet);
    }

    private void startAll(Set<String> only) {
        settings.platform()
                .filter(found -> only.isEmpty() ? found.isHosted() : only.contains(settings.platformName()))
                .ifPresent(this::startPlatform);
        Map<VmId, String> addresses = new HashMap<>();
        settings.vms().forEach(vm -> addresses.put(vm.vm().id(), vm.vm().address()));
        String weightStore = settings.platform()
                .map(found -> found.host() + ":" + found.port())
                .orElse("");
        for (VmSettings vm : settings.vms()) {
            boolean isHosted =
                    only.isEmpty() ? vm.isHosted() : only.contains(vm.vm().id().value());
            if (isHosted) {
                HostedVm hosted = new HostedVm(vm, weightStore, addresses, threads);
                vms.put(vm.vm().id(), hosted);
                hosted.start();
            }
        }
        LOGGER.atInfo().log("stand-ins serve: %s platform, %s VMs", platform == null ? 0 : 1, vms.size());
    }

    private void startPlatform(PlatformSettings platformSettings) {
        List<Vm> known = new ArrayList<>();
        List<VmId> absent = new ArrayList<>();
        for (VmSettings vm : settings.vms()) {
            known.add(vm.vm());
            if (vm.initial() == VmSettings.Initial.ABSENT) {
                absent.add(vm.vm().id());
            }
        }
        platform = new PlatformStandin(platformSettings, known, absent, threads);
    }

    /**
     * Stops a VM at once, cutting its connections.
     *
     * @param vm a VM of this process
     */
    public void stopVm(VmId vm) {
        hosted(vm).stop();
    }

    /**
     * Starts a VM again, with nothing in its memory.
     *
     * @param vm a VM of this process
     */
    public void startVm(VmId vm) {
        hosted(vm).start();
    }

    private HostedVm hosted(VmId vm) {
        HostedVm hosted = vms.get(vm);
        if (hosted == null) {
            throw new IllegalArgumentException("VM " + vm + " is not hosted here");
        }
        return hosted;
    }

    @Override
    public void close() {
        vms.values().forEach(HostedVm::stop);
        if (platform != null) {
            platform.close();
        }
        threads.close();
    }
}
