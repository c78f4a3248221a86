package org.guavathread.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The fault switches of one stand-in. A count says how many of the next requests are struck: 0 none, -1 all.
 *
 * <pre>{@code
 * service.faults().dropAfter(1).delayMillis(20);
 * }</pre>
 *
 * <p>Over HTTP, {@code POST /standin/faults} takes the same names as JSON fields; absent fields stay as they are.
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
     * Delays every request before it runs.
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
     * @param count how many requests
     * @return these faults
     */
    public synchronized Faults refuse(int count) {
        this.refuse = count;
        return this;
    }

    /**
     * Closes the connection when a request has arrived, without running it.
     *
     * @param count how many requests
     * @return these faults
     */
    public synchronized Faults dropBefore(int count) {
        this.dropBefore = count;
        return this;
    }

    /**
     * Runs a request and closes the connection instead of answering.
     *
     * @param count how many requests
     * @return these faults
     */
    public synchronized Faults dropAfter(int count) {
        this.dropAfter = count;
        return this;
    }

    /**
     * Neither runs nor answers a request and leaves its connection open.
     *
     * @param count how many requests
     * @return these faults
     */
    public synchronized Faults stall(int count) {
        this.stall = count;
        return this;
    }

    /**
     * Runs a request, never answers it, and leaves its connection open.
     *
     * @param count how many requests
     * @return these faults
     */
    public synchronized Faults stallAfter(int count) {
        this.stallAfter = count;
        return this;
    }

    /**
     * Closes the connection of each stream after some tokens.
     *
     * @param tokens number of tokens, or -1 for never
     * @return these faults
     */
    public synchronized Faults dropStreamAfterTokens(int tokens) {
        this.dropStreamAfterTokens = tokens;
        return this;
    }

    /**
     * Lets each stream go silent after some tokens, with its connection open.
     *
     * @param tokens number of tokens, or -1 for never
     * @return these faults
     */
    public synchronized Faults stallStreamAfterTokens(int tokens) {
        this.stallStreamAfterTokens = tokens;
        return this;
    }

    /**
     * Lets the stand-in crash on each request whose body or prompt holds a text.
     *
     * @param text the text, or the empty text for never
     * @return these faults
     */
    public synchronized Faults crashMarker(String text) {
        this.crashMarker = text;
        return this;
    }

    /**
     * Lets a crashed stand-in start again, with empty memory and on the same port.
     *
     * @param millis time between crash and start in milliseconds, or -1 for never
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

    synchronized boolean takeRefuse() {
        boolean struck = refuse != 0;
        refuse = afterUse(refuse);
        return struck;
    }

    synchronized boolean takeDropBefore() {
        boolean struck = dropBefore != 0;
        dropBefore = afterUse(dropBefore);
        return struck;
    }

    synchronized boolean takeDropAfter() {
        boolean struck = dropAfter != 0;
        dropAfter = afterUse(dropAfter);
        return struck;
    }

    synchronized boolean takeStall() {
        boolean struck = stall != 0;
        stall = afterUse(stall);
        return struck;
    }

    synchronized boolean takeStallAfter() {
        boolean struck = stallAfter != 0;
        stallAfter = afterUse(stallAfter);
        return struck;
    }

    private static int afterUse(int count) {
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
