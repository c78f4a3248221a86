package org.guavathread.router.http;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against cut answers that look complete, over orders of what reader and writer of a connection report. */
class AnswerCompletionProperties {

    private enum Event {
        CLOSE_DELIMITED_HEAD,
        DELIMITED_HEAD,
        LAST_PART,
        WRITTEN_BEFORE_END,
        WRITTEN_AFTER_END,
        WRITE_FAILED,
        END_OF_INPUT,
        LOST
    }

    @Provide
    Arbitrary<List<Event>> orders() {
        return Arbitraries.of(Event.class)
                .list()
                .uniqueElements()
                .ofMaxSize(Event.values().length)
                .filter(order ->
                        // A head comes once and before the end of its answer, the write ends once.
                        !(order.contains(Event.CLOSE_DELIMITED_HEAD) && order.contains(Event.DELIMITED_HEAD))
                                && writeEnds(order) <= 1
                                && (!order.contains(Event.WRITTEN_AFTER_END)
                                        || order.contains(Event.END_OF_INPUT)
                                                && order.indexOf(Event.END_OF_INPUT)
                                                        < order.indexOf(Event.WRITTEN_AFTER_END)));
    }

    private static long writeEnds(List<Event> order) {
        return order.stream()
                .filter(e -> e == Event.WRITTEN_BEFORE_END || e == Event.WRITTEN_AFTER_END || e == Event.WRITE_FAILED)
                .count();
    }

    private static AnswerEnd play(List<Event> order) {
        AnswerCompletion completion = new AnswerCompletion();
        for (Event event : order) {
            switch (event) {
                case CLOSE_DELIMITED_HEAD -> completion.head(true);
                case DELIMITED_HEAD -> completion.head(false);
                case LAST_PART -> completion.lastPart();
                case WRITTEN_BEFORE_END -> completion.requestWritten(true);
                case WRITTEN_AFTER_END -> completion.requestWritten(false);
                case WRITE_FAILED -> completion.requestFailed();
                case END_OF_INPUT -> completion.inputEnded();
                case LOST -> completion.connectionLost();
                default -> throw new IllegalStateException("unknown event " + event);
            }
        }
        return completion.end();
    }

    private static boolean inOrder(List<Event> order, Event first, Event second) {
        return order.contains(first) && order.contains(second) && order.indexOf(first) < order.indexOf(second);
    }

    private static boolean comesFirst(List<Event> order, Event first, Event second) {
        return !order.contains(second) || inOrder(order, first, second);
    }

    @Property(seed = "21", tries = 5_000)
    void answerThatOnlyTheCloseDelimitsIsWholeAfterTheRequestAndAnOrderlyEnd(@ForAll("orders") List<Event> order) {
        boolean isWhole = inOrder(order, Event.CLOSE_DELIMITED_HEAD, Event.END_OF_INPUT)
                && order.contains(Event.WRITTEN_BEFORE_END)
                && comesFirst(order, Event.CLOSE_DELIMITED_HEAD, Event.END_OF_INPUT)
                && comesFirst(order, Event.END_OF_INPUT, Event.LOST);
        assertEquals(isWhole, play(order) == AnswerEnd.CLOSED_AFTER_REQUEST, order.toString());
    }

    @Property(seed = "22", tries = 5_000)
    void delimitedAnswerIsWholeWithItsLastPart(@ForAll("orders") List<Event> order) {
        boolean isWhole = inOrder(order, Event.DELIMITED_HEAD, Event.LAST_PART)
                && comesFirst(order, Event.LAST_PART, Event.WRITE_FAILED)
                && comesFirst(order, Event.LAST_PART, Event.END_OF_INPUT)
                && comesFirst(order, Event.LAST_PART, Event.LOST);
        assertEquals(isWhole, play(order) == AnswerEnd.DELIMITED, order.toString());
    }
}
