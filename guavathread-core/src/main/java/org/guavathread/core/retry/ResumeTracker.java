package org.guavathread.core.retry;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Follows one answer stream over engine failures, so that the caller gets each token once and in order. Each engine that
 * generates the stream has a source number; tokens of an earlier source are dropped, because a resumed engine may
 * continue with other tokens.
 */
public final class ResumeTracker {

    /** Tokens that arrive ahead of a missing one; beyond this the missing token is taken as lost. */
    private static final int MAX_HELD = 64;

    private static final int LENGTH_UNKNOWN = -1;

    private final TreeMap<Integer, String> held = new TreeMap<>();
    private int source;
    private int nextOffset;
    private int length = LENGTH_UNKNOWN;
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
     * Takes a token.
     *
     * @param fromSource source number of the engine call, as {@link #source()} gave it when the call began
     * @param index offset of the token in the answer
     * @param token the token
     * @return what to send
     */
    public Step token(int fromSource, int index, String token) {
        if (fromSource != source || state() != State.RUNNING || index < nextOffset) {
            return new Step(List.of(), state());
        }
        held.putIfAbsent(index, token);
        List<String> send = new ArrayList<>();
        while (!held.isEmpty() && held.firstKey() == nextOffset) {
            send.add(held.pollFirstEntry().getValue());
            nextOffset++;
        }
        failed = held.size() > MAX_HELD;
        return new Step(send, state());
    }

    /**
     * Takes the end that the engine announced.
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
     * Takes the break of a connection.
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
     * Starts the next source. Tokens held from the earlier source are dropped.
     *
     * @return the source number of the new engine call, which begins at {@link #nextOffset()}
     */
    public int resume() {
        held.clear();
        failed = false;
        length = LENGTH_UNKNOWN;
        return ++source;
    }

    public int source() {
        return source;
    }

    /**
     * Gives the offset of the next token that the caller needs.
     *
     * @return how many tokens were sent
     */
    public int nextOffset() {
        return nextOffset;
    }

    /**
     * Gives the state.
     *
     * @return the state after the last event
     */
    public State state() {
        if (failed) {
            return State.BROKEN;
        }
        return length == LENGTH_UNKNOWN ? State.RUNNING : State.FINISHED;
    }
}
