package org.apricotdeal.lab.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.SectionReader;

/** Reads an experiment and the deployment that it names; all findings of both files are collected. */
public final class ExperimentReader {
    private static final double NO_LIMIT = 1e9;
    private static final String NO_KEY = "0".repeat(64);
    private static final String OWNER = "experiment";

    private final Findings findings;
    private final List<Entry> entries = new ArrayList<>();
    private final List<ClassId> classIds = new ArrayList<>();
    private final List<UpstreamId> upstreams = new ArrayList<>();
    private final List<LoadSpec> loads = new ArrayList<>();
    private final List<CallerSpec> callers = new ArrayList<>();
    private final List<FloodSpec> floods = new ArrayList<>();
    private final List<FaultSpec> faults = new ArrayList<>();
    private final List<CallerEntry> pending = new ArrayList<>();
    private FleetSpec fleet;

    private ExperimentReader(Findings findings) {
        this.findings = findings;
    }

    /**
     * Reads an experiment.
     *
     * @param file the experiment's file; it names its deployment's file relative to itself
     * @param findings takes what is wrong; the plan is usable only where there are no errors
     * @return the experiment
     */
    public static ExperimentPlan read(Path file, Findings findings) {
        return new ExperimentReader(findings).readPlan(file);
    }

    private ExperimentPlan readPlan(Path file) {
        IniFile ini = IniFile.read(file, findings);
        SectionReader head = new SectionReader(ini.section("experiment"), findings);
        String deployment = head.text("deployment", null);
        readDeployment(IniFile.read(file.resolveSibling(deployment), findings));
        for (IniSection section : ini.sections()) {
            readEvent(section);
        }
        ExperimentPlan plan = new ExperimentPlan(
                head.name("name", null),
                fleet,
                Catalogue.of(1, "experiment", entries),
                loads,
                callers,
                floods,
                faults,
                head.integer("reportLagMillis", 500L, 0, 60_000),
                (int) head.integer("retriesAtOnce", 0L, 0, 100),
                head.integer("warmUpSeconds", 60L, 0, 3_600),
                head.integer("measuredSeconds", 120L, 1, 3_600));
        head.reportUnknown();
        return plan;
    }

    private void readEvent(IniSection section) {
        SectionReader reader = new SectionReader(section, findings);
        switch (section.kind()) {
            case "experiment" -> {
                return;
            }
            case "flood" ->
                floods.add(new FloodSpec(
                        section.subject(),
                        reader.text("caller", ""),
                        reader.decimal("capacityShare", null, 0.0, 1_000.0),
                        reader.integer("fromSeconds", null, 0, 3_600),
                        reader.integer("forSeconds", null, 1, 3_600)));
            case "fault" ->
                faults.add(new FaultSpec(
                        reader.enumValue("kind", FaultKind.REPLICA, FaultKind.class),
                        reader.name("failureDomain", null),
                        (int) reader.integer("replicas", 1L, 1, 1_000),
                        reader.decimal("slowdown", 1.0, 1.0, 100.0),
                        reader.integer("atSeconds", null, 0, 3_600),
                        reader.integer("forSeconds", null, 1, 3_600)));
            case "load" -> readLoad(section.subject(), reader);
            default -> findings.add(Message.SETTING_UNKNOWN, section.location(), "experiment, load, flood, fault");
        }
        reader.reportUnknown();
    }

    private void readDeployment(IniFile ini) {
        for (IniSection section : ini.sections()) {
            SectionReader reader = new SectionReader(section, findings);
            readDeploymentSection(section, reader);
            reader.reportUnknown();
        }
        if (fleet == null) {
            findings.add(Message.SETTING_MISSING, ini.section("fleet").location(), "a section fleet");
        }
        addCallers();
    }

    private void readDeploymentSection(IniSection section, SectionReader reader) {
        String subject = section.subject();
        switch (section.kind()) {
            case "fleet" -> fleet = readFleet(reader);
            case "class" -> readClass(subject, reader);
            case "model" -> readModel(subject, reader);
            case "service" -> readService(subject, reader);
            case "caller" -> readCaller(subject, reader);
            case "load" -> readLoad(subject, reader);
            case "policy" ->
                entries.add(new PolicyEntry(
                        OWNER,
                        reader.enumValue("callerWeighting", CallerWeighting.WEIGHTED, CallerWeighting.class),
                        reader.decimal("retryBudgetShare", 0.1, 0.0, 1.0),
                        1_000,
                        3_000,
                        reader.decimal("stragglerRatio", 2.0, 1.0, 100.0)));
            default ->
                findings.add(
                        Message.SETTING_UNKNOWN,
                        section.location(),
                        "fleet, class, model, service, caller, load, policy");
        }
    }

    private FleetSpec readFleet(SectionReader reader) {
        List<String> domains = reader.names("failureDomains", null);
        List<Integer> nodes = new ArrayList<>();
        for (String count : reader.names("nodesPerDomain", null)) {
            nodes.add(Integer.parseInt(count));
        }
        return new FleetSpec(
                domains,
                nodes,
                (int) reader.integer("replicasPerDomain", null, 1, 1_000),
                (int) reader.integer("serviceVmsPerDomain", 1L, 0, 1_000),
                (int) reader.integer("prefixCacheEntries", 24L, 1, 100_000),
                reader.integer("minDelayMicros", 500L, 0, 1_000_000),
                reader.integer("maxDelayMicros", 1_500L, 0, 1_000_000));
    }

    private void readClass(String name, SectionReader reader) {
        ClassId id = new ClassId(name);
        classIds.add(id);
        entries.add(new ClassEntry(
                id,
                OWNER,
                (int) reader.integer("priority", null, 0, 100),
                reader.decimal("floorShare", null, 0.0, 1.0),
                reader.integer("firstTokenTargetMillis", null, 1, 86_400_000),
                reader.integer("deadlineMillis", null, 1, 86_400_000),
                reader.bool("preemptible", false),
                (int) reader.integer("maxQueued", 1_000L, 1, 1_000_000)));
    }

    private void readModel(String name, SectionReader reader) {
        UpstreamId id = new UpstreamId(name);
        upstreams.add(id);
        int streams = (int) reader.integer("maxStreamsPerReplica", 16L, 1, 10_000);
        entries.add(new ModelEntry(id, OWNER, 4, 5, streams, 60_000, OrderCheck.HONOURS_FENCING, 100, "", 1));
    }

    private void readService(String name, SectionReader reader) {
        UpstreamId id = new UpstreamId(name);
        upstreams.add(id);
        entries.add(new ServiceEntry(
                id,
                OWNER,
                new ClassId(reader.name("class", null)),
                List.of(),
                (int) reader.integer("maxInFlightPerVm", 16L, 1, 10_000),
                10_000,
                86_400_000));
    }

    private void readCaller(String name, SectionReader reader) {
        CallerId id = new CallerId(name);
        callers.add(new CallerSpec(id, reader.decimal("loadShare", null, 0.0, 1_000.0), reader.bool("large", false)));
        pending.add(new CallerEntry(
                id,
                OWNER,
                NO_KEY,
                reader.decimal("weight", 1.0, 0.001, 1_000.0),
                List.of(),
                List.of(),
                reader.decimal("tokensPerSecond", NO_LIMIT, 0.0, NO_LIMIT),
                reader.decimal("requestsPerSecond", NO_LIMIT, 0.0, NO_LIMIT),
                (int) reader.integer("maxInFlight", 1_000_000L, 0, 1_000_000)));
    }

    private void addCallers() {
        for (CallerEntry caller : pending) {
            entries.add(new CallerEntry(
                    caller.id(),
                    caller.owner(),
                    caller.keySha256(),
                    caller.weight(),
                    classIds,
                    upstreams,
                    caller.tokensPerSecond(),
                    caller.requestsPerSecond(),
                    caller.maxInFlight()));
        }
    }

    /** Reads a stream of requests; one of an experiment replaces the deployment's of the same name. */
    private void readLoad(String name, SectionReader reader) {
        loads.removeIf(load -> load.name().equals(name));
        loads.add(new LoadSpec(
                name,
                new ClassId(reader.name("class", null)),
                new UpstreamId(reader.name("upstream", null)),
                reader.decimal("capacityShare", null, 0.0, 1_000.0),
                (int) reader.integer("outputTokens", 1L, 1, 100_000),
                (int) reader.integer("promptTokens", 0L, 0, 1_000_000),
                (int) reader.integer("prefixes", 0L, 0, 1_000_000),
                reader.decimal("estimateRatio", 1.0, 0.01, 100.0)));
    }
}
