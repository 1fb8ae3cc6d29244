package org.apricotdeal.proofs.call;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.policy.call.CallAction;
import org.apricotdeal.policy.call.CallEvent;
import org.apricotdeal.policy.call.CallPolicy;
import org.apricotdeal.policy.call.ServiceCallMachine;
import org.apricotdeal.proofs.Cases;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Runs the cases of calls.txt. Each line is one case: its name, whether the call is repeatable, the number of retries in the
 * budget, the events, and the expected actions.
 */
public final class ServiceCallMachineTest {
    private static final long DEADLINE_MILLIS = 1_000;
    private static final long ATTEMPT_TIMEOUT_MILLIS = 300;
    private static final int MAX_ATTEMPTS = 4;
    private static final List<VmId> VMS = List.of(new VmId("a"), new VmId("b"), new VmId("c"));

    private long nowMillis;
    private int retriesLeft;

    @DataProvider
    public Object[][] cases() throws IOException {
        return Cases.read("/call/calls.txt");
    }

    @Test(dataProvider = "cases")
    public void returnsExpectedActions(String name, String repeatable, String retries, String events, String expected) {
        nowMillis = 0;
        retriesLeft = Integer.parseInt(retries);
        CallPolicy policy =
                new CallPolicy(Boolean.parseBoolean(repeatable), DEADLINE_MILLIS, ATTEMPT_TIMEOUT_MILLIS, MAX_ATTEMPTS);
        ServiceCallMachine machine = new ServiceCallMachine(policy, this::select, now -> retriesLeft-- > 0);
        List<CallAction> actions = new ArrayList<>();
        for (String text : events.split("\\s*,\\s*", -1)) {
            CallEvent event = parse(text);
            actions.addAll(machine.step(nowMillis, event));
        }
        String found = actions.stream().map(this::print).collect(Collectors.joining(", "));
        assertEquals(found, expected, name);
    }

    private Optional<VmId> select(Set<VmId> tried) {
        return VMS.stream().filter(vm -> !tried.contains(vm)).findFirst();
    }

    private CallEvent parse(String text) {
        String[] words = text.split(" ", -1);
        return switch (words[0]) {
            case "start" -> new CallEvent.Start();
            case "answered" -> new CallEvent.Answered(Integer.parseInt(words[1]));
            case "not-sent" -> new CallEvent.NotSent(Integer.parseInt(words[1]));
            case "unknown" -> new CallEvent.Unknown(Integer.parseInt(words[1]));
            case "cancelled" -> new CallEvent.Cancelled();
            case "at" -> {
                nowMillis = Long.parseLong(words[1]);
                yield new CallEvent.Tick();
            }
            default -> throw new IllegalArgumentException("unknown event " + text);
        };
    }

    private String print(CallAction action) {
        return switch (action) {
            case CallAction.Send(int attempt, VmId vm) -> "send " + attempt + " " + vm;
            case CallAction.Answer(int attempt) -> "answer " + attempt;
            case CallAction.RefuseNotRun(var reason) -> "not-run " + reason;
            case CallAction.OutcomeUnknown unknown -> "outcome-unknown";
        };
    }
}
