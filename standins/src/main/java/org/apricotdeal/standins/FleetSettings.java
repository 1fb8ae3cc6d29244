package org.apricotdeal.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.message.SourceLocation;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.IniValue;
import org.apricotdeal.kernel.settings.SectionReader;
import org.apricotdeal.standins.platform.PlatformSettings;

/**
 * Settings of all stand-ins: at most one section {@code platform NAME}, any number of sections {@code vm NAME}, and
 * sections {@code defaults UPSTREAM} whose values hold for all VMs of an upstream that do not give their own.
 *
 * @param platformName name of the platform, empty where there is none
 * @param platform the platform
 * @param vms the VMs in the order of the file
 */
public record FleetSettings(String platformName, Optional<PlatformSettings> platform, List<VmSettings> vms) {
    /** Copies the list. */
    public FleetSettings {
        vms = List.copyOf(vms);
    }

    /**
     * Reads the settings.
     *
     * @param file the file
     * @param findings takes what is wrong
     * @return the settings
     */
    public static FleetSettings read(IniFile file, Findings findings) {
        String platformName = "";
        Optional<PlatformSettings> platform = Optional.empty();
        List<VmSettings> vms = new ArrayList<>();
        Map<Integer, String> users = new HashMap<>();
        for (IniSection section : file.sections()) {
            switch (section.kind()) {
                case "platform" -> {
                    if (platform.isPresent()) {
                        findings.add(Message.SETTING_REPEATED, section.location());
                    }
                    SectionReader reader = new SectionReader(section, findings);
                    platformName = section.subject();
                    platform = Optional.of(PlatformSettings.read(reader, findings));
                    reader.reportUnknown();
                    platform.get().ports().forEach(port -> claimPort(port, section, reader, users, findings));
                }
                case "vm" -> readVm(file, section, findings, users).ifPresent(vms::add);
                case "defaults" -> {}
                default ->
                    findings.add(
                            Message.SETTING_INVALID,
                            section.location(),
                            section.name(),
                            "platform NAME, defaults UPSTREAM or vm NAME");
            }
        }
        return new FleetSettings(platformName, platform, vms);
    }

    private static Optional<VmSettings> readVm(
            IniFile file, IniSection section, Findings findings, Map<Integer, String> users) {
        if (!Names.isValid(section.subject())) {
            findings.add(Message.SETTING_INVALID, section.location(), section.subject(), "a valid VM name");
            return Optional.empty();
        }
        SectionReader reader = new SectionReader(withDefaults(file, section), findings);
        VmSettings vm = VmSettings.read(section.subject(), reader);
        reader.reportUnknown();
        claimPort(vm.port(), section, reader, users, findings);
        return Optional.of(vm);
    }

    private static IniSection withDefaults(IniFile file, IniSection section) {
        IniValue upstream = section.values().get("upstream");
        if (upstream == null) {
            return section;
        }
        Map<String, IniValue> values =
                new LinkedHashMap<>(file.section("defaults " + upstream.text()).values());
        values.putAll(section.values());
        return new IniSection(section.name(), section.location(), values);
    }

    private static void claimPort(
            int port, IniSection section, SectionReader reader, Map<Integer, String> users, Findings findings) {
        String other = users.putIfAbsent(port, section.name());
        if (other != null) {
            SourceLocation place = reader.locationOf("port");
            findings.add(Message.SETTING_INVALID, place, Integer.toString(port), "a port that " + other + " has not");
        }
    }
}
