package org.apricotdeal.relay.node;

import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.RequestExplanation;

/** Questions of operators what would become of a request, which the dispatch duty answers with its next tick. */
final class PendingQuestions {
    /** Time for an answer; many ticks. */
    private static final long MAX_WAIT_MILLIS = 2_000;

    private final Queue<Question> questions = new ConcurrentLinkedQueue<>();

    /** A question and its answer. */
    private record Question(Arrival arrival, CompletableFuture<RequestExplanation> answer) {}

    /** Adds a question; the answer fails if none comes in time. */
    CompletableFuture<RequestExplanation> ask(Arrival arrival) {
        CompletableFuture<RequestExplanation> answer = new CompletableFuture<>();
        questions.add(new Question(arrival, answer));
        return answer.orTimeout(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    void answerAll(Function<Arrival, RequestExplanation> explainer) {
        for (Question question = questions.poll(); question != null; question = questions.poll()) {
            try {
                question.answer().complete(explainer.apply(question.arrival()));
            } catch (RuntimeException e) {
                question.answer().completeExceptionally(e);
            }
        }
    }
}
