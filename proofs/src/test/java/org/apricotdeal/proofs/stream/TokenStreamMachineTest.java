package org.apricotdeal.proofs.stream;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.policy.stream.StreamAction;
import org.apricotdeal.policy.stream.StreamEvent;
import org.apricotdeal.policy.stream.StreamPolicy;
import org.apricotdeal.policy.stream.TokenStreamMachine;
import org.apricotdeal.proofs.Cases;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Runs the cases in streams.txt. Each has a name, the retries left in the budget, events and the expected actions. */
public final class TokenStreamMachineTest {
    private static final StreamPolicy POLICY = new StreamPolicy(500, 200, 100, 10_000, 4, 5_000, 2);

    private long nowMillis;
    private int retriesLeft;

    @DataProvider
    public Object[][] cases() throws IOException {
        return Cases.read("/stream/streams.txt");
    }

    @Test(dataProvider = "cases")
    public void decides(String name, String retries, String events, String expected) {
        nowMillis = 0;
        retriesLeft = Integer.parseInt(retries);
        TokenStreamMachine machine = new TokenStreamMachine(POLICY, now -> retriesLeft-- > 0);
        List<StreamAction> actions = new ArrayList<>();
        for (String text : events.split("\\s*,\\s*", -1)) {
            StreamEvent event = parse(text.split(" ", -1));
            actions.addAll(machine.step(nowMillis, event));
        }
        String found = actions.stream().map(TokenStreamMachineTest::print).collect(Collectors.joining(", "));
        assertEquals(found, expected, name);
    }

    private StreamEvent parse(String[] words) {
        return switch (words[0]) {
            case "start" -> new StreamEvent.Start();
            case "on" -> new StreamEvent.ReplicaChosen(new ReplicaId(words[1]));
            case "none" -> new StreamEvent.NoReplica();
            case "t" -> new StreamEvent.Token(number(words[1]), number(words[2]), "t" + words[2]);
            case "finished" -> new StreamEvent.Finished(number(words[1]), "stop", number(words[2]));
            case "refused" -> new StreamEvent.Failed(number(words[1]), new StreamFailure.NotStarted("503"));
            case "broken" -> new StreamEvent.Failed(number(words[1]), new StreamFailure.Broken("reset"));
            case "serves" -> new StreamEvent.Probed(number(words[1]), true);
            case "fails" -> new StreamEvent.Probed(number(words[1]), false);
            case "lost" -> new StreamEvent.ReplicaLost(new ReplicaId(words[1]));
            case "preempt" -> new StreamEvent.Preempt();
            case "resume" -> new StreamEvent.Resume();
            case "cancelled" -> new StreamEvent.Cancelled();
            case "at" -> {
                nowMillis = Long.parseLong(words[1]);
                yield new StreamEvent.Tick();
            }
            default -> throw new IllegalArgumentException("unknown event " + words[0]);
        };
    }

    private static int number(String word) {
        return Integer.parseInt(word);
    }

    private static String print(StreamAction action) {
        return switch (action) {
            case StreamAction.ChooseReplica(var preferred, var excluded) ->
                "choose " + (preferred == null ? "any" : preferred)
                        + (excluded.isEmpty() ? "" : " not " + String.join("+", names(excluded)));
            case StreamAction.Open(int attempt, var replica, var generated) ->
                "open " + attempt + " " + replica + " after " + generated.size();
            case StreamAction.CancelAttempt(int attempt) -> "cancel " + attempt;
            case StreamAction.Probe(int attempt, var replica) -> "probe " + replica;
            case StreamAction.Deliver(int offset, String text) -> text;
            case StreamAction.Paused(int delivered) -> "paused " + delivered;
            case StreamAction.Finish(String reason, int delivered) -> "finish " + delivered;
            case StreamAction.Fail(var reason, int delivered) -> "fail " + reason + " " + delivered;
        };
    }

    private static List<String> names(java.util.Collection<ReplicaId> replicas) {
        return replicas.stream().map(ReplicaId::value).sorted().toList();
    }
}
