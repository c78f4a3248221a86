package org.guavathread.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Tracks one answer stream across engine failures, so that the caller gets each token once and in order. Each engine
 * call for the stream has a source number. Tokens of an earlier source are dropped, because the engine that resumes the
 * stream may generate different tokens.
 */
public final class ResumeTracker {

    /** Maximum number of out-of-order tokens; with more, the missing token is considered lost. */
    private static final int MAX_OUT_OF_ORDER_TOKENS = 64;

    private static final int UNKNOWN_LENGTH = -1;

    private final TreeMap<Integer, String> outOfOrder = new TreeMap<>();
    private int source;
    private int nextOffset;
    private int length = UNKNOWN_LENGTH;
    private boolean failed;

    /** State of the stream after an event. */
    public enum State {
        /** More tokens are expected. */
        RUNNING,
        /** All tokens were sent. */
        FINISHED,
        /** A token is missing; resume from {@link ResumeTracker#nextOffset()} or fail the request. */
        BROKEN
    }

    /**
     * Result of an event.
     *
     * @param send tokens to send to the caller now, in order
     * @param state state of the stream after they are sent
     */
    public record Step(List<String> send, State state) {}

    /**
     * Accepts a token.
     *
     * @param fromSource source number of the engine call, as returned by {@link #source()} when the call began
     * @param index offset of the token in the answer
     * @param token the token
     * @return what to send
     */
    public Step token(int fromSource, int index, String token) {
        if (fromSource != source || state() != State.RUNNING || index < nextOffset) {
            return new Step(List.of(), state());
        }
        outOfOrder.putIfAbsent(index, token);
        List<String> send = new ArrayList<>();
        while (!outOfOrder.isEmpty() && outOfOrder.firstKey() == nextOffset) {
            send.add(outOfOrder.pollFirstEntry().getValue());
            nextOffset++;
        }
        failed = outOfOrder.size() > MAX_OUT_OF_ORDER_TOKENS;
        return new Step(send, state());
    }

    /**
     * Accepts the end of the answer as announced by the engine.
     *
     * @param fromSource source number of the engine call
     * @param totalTokens length of the whole answer in tokens
     * @return what to send, which is nothing
     */
    public Step done(int fromSource, int totalTokens) {
        if (fromSource == source && state() == State.RUNNING) {
            length = totalTokens;
            failed = nextOffset != totalTokens;
        }
        return new Step(List.of(), state());
    }

    /**
     * Records that the connection to an engine broke.
     *
     * @param fromSource source number of the engine call
     * @return what to send, which is nothing
     */
    public Step broken(int fromSource) {
        if (fromSource == source && state() == State.RUNNING) {
            failed = true;
        }
        return new Step(List.of(), state());
    }

    /**
     * Starts the next source. Buffered out-of-order tokens of the earlier source are dropped.
     *
     * @return the source number of the new engine call, which begins at {@link #nextOffset()}
     */
    public int resume() {
        outOfOrder.clear();
        failed = false;
        length = UNKNOWN_LENGTH;
        return ++source;
    }

    public int source() {
        return source;
    }

    /**
     * Returns the offset of the next token for the caller.
     *
     * @return number of tokens that were sent
     */
    public int nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the state.
     *
     * @return the state after the last event
     */
    public State state() {
        if (failed) {
            return State.BROKEN;
        }
        return length == UNKNOWN_LENGTH ? State.RUNNING : State.FINISHED;
    }
}
