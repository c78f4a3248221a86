package org.guavathread.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The faults that are injected into a stand-in. A count is the number of subsequent requests affected: 0 none, -1 all.
 *
 * <pre>{@code
 * service.faults().dropAfter(1).delayMillis(20);
 * }</pre>
 *
 * <p>Over HTTP, {@code POST /standin/faults} takes the same names as JSON fields; absent fields keep their values.
 */
public final class Faults {

    private long delayMillis;
    private int refuse;
    private int dropBefore;
    private int dropAfter;
    private int stall;
    private int stallAfter;
    private int dropStreamAfterTokens = -1;
    private int stallStreamAfterTokens = -1;
    private String crashMarker = "";
    private long restartAfterMillis = -1;

    /**
     * Delays each request before it runs.
     *
     * @param millis milliseconds
     * @return these faults
     */
    public synchronized Faults delayMillis(long millis) {
        this.delayMillis = millis;
        return this;
    }

    /**
     * Refuses requests with status 503 without running them.
     *
     * @param count number of requests
     * @return these faults
     */
    public synchronized Faults refuse(int count) {
        this.refuse = count;
        return this;
    }

    /**
     * Closes the connection when a request arrives, without running the request.
     *
     * @param count number of requests
     * @return these faults
     */
    public synchronized Faults dropBefore(int count) {
        this.dropBefore = count;
        return this;
    }

    /**
     * Runs a request and closes the connection instead of responding.
     *
     * @param count number of requests
     * @return these faults
     */
    public synchronized Faults dropAfter(int count) {
        this.dropAfter = count;
        return this;
    }

    /**
     * Neither runs nor answers a request, and leaves its connection open.
     *
     * @param count number of requests
     * @return these faults
     */
    public synchronized Faults stall(int count) {
        this.stall = count;
        return this;
    }

    /**
     * Runs a request, never answers it, and leaves its connection open.
     *
     * @param count number of requests
     * @return these faults
     */
    public synchronized Faults stallAfter(int count) {
        this.stallAfter = count;
        return this;
    }

    /**
     * Closes the connection of each stream after a number of tokens.
     *
     * @param tokens number of tokens, or -1 for never
     * @return these faults
     */
    public synchronized Faults dropStreamAfterTokens(int tokens) {
        this.dropStreamAfterTokens = tokens;
        return this;
    }

    /**
     * Stalls each stream after a number of tokens and leaves its connection open.
     *
     * @param tokens number of tokens, or -1 for never
     * @return these faults
     */
    public synchronized Faults stallStreamAfterTokens(int tokens) {
        this.stallStreamAfterTokens = tokens;
        return this;
    }

    /**
     * Makes the stand-in crash on each request whose body or prompt contains a text.
     *
     * @param text the text, or an empty string for never
     * @return these faults
     */
    public synchronized Faults crashMarker(String text) {
        this.crashMarker = text;
        return this;
    }

    /**
     * Makes a crashed stand-in restart on the same port with empty memory.
     *
     * @param millis time between crash and restart in milliseconds, or -1 for never
     * @return these faults
     */
    public synchronized Faults restartAfterMillis(long millis) {
        this.restartAfterMillis = millis;
        return this;
    }

    synchronized long delayMillis() {
        return delayMillis;
    }

    synchronized int dropStreamAfterTokens() {
        return dropStreamAfterTokens;
    }

    synchronized int stallStreamAfterTokens() {
        return stallStreamAfterTokens;
    }

    synchronized long restartAfterMillis() {
        return restartAfterMillis;
    }

    synchronized boolean crashesOn(String text) {
        return !crashMarker.isEmpty() && text.contains(crashMarker);
    }

    synchronized boolean consumeRefuse() {
        boolean active = refuse != 0;
        refuse = decremented(refuse);
        return active;
    }

    synchronized boolean consumeDropBefore() {
        boolean active = dropBefore != 0;
        dropBefore = decremented(dropBefore);
        return active;
    }

    synchronized boolean consumeDropAfter() {
        boolean active = dropAfter != 0;
        dropAfter = decremented(dropAfter);
        return active;
    }

    synchronized boolean consumeStall() {
        boolean active = stall != 0;
        stall = decremented(stall);
        return active;
    }

    synchronized boolean consumeStallAfter() {
        boolean active = stallAfter != 0;
        stallAfter = decremented(stallAfter);
        return active;
    }

    private static int decremented(int count) {
        return count > 0 ? count - 1 : count;
    }

    synchronized void apply(JsonNode change) {
        delayMillis = change.path("delayMillis").asLong(delayMillis);
        refuse = change.path("refuse").asInt(refuse);
        dropBefore = change.path("dropBefore").asInt(dropBefore);
        dropAfter = change.path("dropAfter").asInt(dropAfter);
        stall = change.path("stall").asInt(stall);
        stallAfter = change.path("stallAfter").asInt(stallAfter);
        dropStreamAfterTokens = change.path("dropStreamAfterTokens").asInt(dropStreamAfterTokens);
        stallStreamAfterTokens = change.path("stallStreamAfterTokens").asInt(stallStreamAfterTokens);
        crashMarker = change.path("crashMarker").asText(crashMarker);
        restartAfterMillis = change.path("restartAfterMillis").asLong(restartAfterMillis);
    }

    synchronized ObjectNode toJson() {
        return new ObjectMapper()
                .createObjectNode()
                .put("delayMillis", delayMillis)
                .put("refuse", refuse)
                .put("dropBefore", dropBefore)
                .put("dropAfter", dropAfter)
                .put("stall", stall)
                .put("stallAfter", stallAfter)
                .put("dropStreamAfterTokens", dropStreamAfterTokens)
                .put("stallStreamAfterTokens", stallStreamAfterTokens)
                .put("crashMarker", crashMarker)
                .put("restartAfterMillis", restartAfterMillis);
    }
}
