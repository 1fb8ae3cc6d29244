package org.apricotdeal.proofs.standins;

import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.standins.FleetSettings;
import org.apricotdeal.standins.StandinFleet;
import org.apricotdeal.standins.VmSettings;
import org.apricotdeal.standins.engine.EngineSettings;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@link FleetSettings}. */
public final class FleetSettingsTest {
    @Test
    public void defaultsOfAnUpstreamHoldWhereAVmGivesNone() {
        Findings findings = new Findings();
        FleetSettings settings = read("""
                [defaults quote]
                failureDomain = at-east-a
                tokenMillis = 40
                maxRunning = 8

                [vm q1]
                upstream = quote
                port = 9001

                [vm q2]
                upstream = quote
                port = 9002
                tokenMillis = 30
                """, findings);
        assertEquals(findings.all(), List.of());
        assertEquals(engine(settings, 0).tokenMillis(), 40);
        assertEquals(engine(settings, 1).tokenMillis(), 30);
        assertEquals(engine(settings, 1).maxRunning(), 8);
    }

    @Test
    public void allFindingsAreReportedTogether() {
        Findings findings = new Findings();
        String ini = """
                [platform east]
                port = 7000
                extraPorts = 7001, door
                readsPerSecond = none

                [vm q1]
                upstream = quote
                port = 7000
                failureDomain = at-east-a
                fencing = perhaps

                [vm office 1]
                port = 9001

                [engine quote]
                tokenMillis = 3

                [vm q2]
                upstream = quote
                port = 9003
                tokenMilis = 3
                """;
        assertTrue(StandinFleet.start(IniFile.parse("fleet.ini", ini, findings), Set.of("q3"), findings)
                .isEmpty());
        List<String> found = findings.all().stream()
                .map(finding -> finding.location() + ": AD" + finding.message().code())
                .toList();
        assertEquals(
                found,
                List.of(
                        "fleet.ini:3: platform east/extraPorts: AD103",
                        "fleet.ini:4: platform east/readsPerSecond: AD103",
                        "fleet.ini:10: vm q1/fencing: AD103",
                        "fleet.ini:8: vm q1/port: AD103",
                        "fleet.ini:12: vm office 1: AD103",
                        "fleet.ini:15: engine quote: AD103",
                        "fleet.ini:18: vm q2/failureDomain: AD102",
                        "fleet.ini:21: vm q2/tokenMilis: AD101",
                        "fleet.ini: AD103"));
    }

    private static FleetSettings read(String ini, Findings findings) {
        return FleetSettings.read(IniFile.parse("fleet.ini", ini, findings), findings);
    }

    private static EngineSettings engine(FleetSettings settings, int vm) {
        return ((VmSettings.Engine) settings.vms().get(vm).workload()).settings();
    }
}
