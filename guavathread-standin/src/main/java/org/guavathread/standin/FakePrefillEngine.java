package org.guavathread.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A prefill engine that computes one prompt at a time, highest priority first, keeps each KV cache for a short time,
 * and has a prefix cache of limited size, whose events it can delay and lose.
 */
public final class FakePrefillEngine extends FakeEngine {

    private final Builder settings;
    private final PriorityQueue<Job> queue = new PriorityQueue<>();
    private final Map<String, KvCache> caches = new HashMap<>();
    private final LinkedHashSet<Long> prefixes = new LinkedHashSet<>();
    private final List<Event> events = new ArrayList<>();
    private Job running;
    private long nextJob;
    private long nextHandle;
    private long nextEvent = 1;
    private int exports;
    private int expiredCaches;

    private FakePrefillEngine(Builder builder) {
        super(builder.port(), "prefill", builder.settings());
        this.settings = builder;
    }

    private record Job(long number, String requestId, int priority, JsonNode body, Call call)
            implements Comparable<Job> {

        int tokens() {
            return body.path("promptTokens").asInt();
        }

        @Override
        public int compareTo(Job other) {
            int byPriority = Integer.compare(other.priority, priority);
            return byPriority != 0 ? byPriority : Long.compare(number, other.number);
        }
    }

    private record KvCache(String requestId, JsonNode body, long kvBytes) {}

    private record Event(long sequence, boolean stored, long hash, long visibleAtMillis) {}

    /**
     * Creates a builder.
     *
     * @return a builder with the defaults of {@link Builder}
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Counts the KV caches that decode engines have pulled.
     *
     * @return the count
     */
    public synchronized int exports() {
        return exports;
    }

    /**
     * Counts the KV caches that expired because no decode engine pulled them in time.
     *
     * @return the count
     */
    public synchronized int expiredCaches() {
        return expiredCaches;
    }

    @Override
    boolean runSpecific(Call call) throws IOException {
        if (call.is("POST /engine/prefill")) {
            prefill(call);
        } else if (call.is("POST /engine/export")) {
            export(call);
        } else if (call.is("GET /engine/events")) {
            call.answer(200, eventsAfter(Long.parseLong(call.query("after", "0"))));
        } else {
            return false;
        }
        return true;
    }

    private void prefill(Call call) throws IOException {
        JsonNode body = call.json();
        String requestId = body.path("requestId").asText();
        if (!hasModel(body.path("model").asText())) {
            call.answer(404);
            return;
        }
        synchronized (this) {
            queue.add(new Job(nextJob++, requestId, body.path("priority").asInt(), body, call));
            hold(requestId, body.path("owner"), "queued", 0);
        }
        startNext();
    }

    private void startNext() {
        Job job;
        int cachedTokens;
        synchronized (this) {
            if (running != null || queue.isEmpty()) {
                return;
            }
            running = queue.poll();
            job = running;
            state(job.requestId(), "prefilling");
            cachedTokens = touchPrefixes(job);
        }
        countRun(job.requestId());
        long micros = settings.microsPerToken * (job.tokens() - cachedTokens);
        later(micros / 1_000, () -> finish(job, cachedTokens));
    }

    private void finish(Job job, int cachedTokens) {
        synchronized (this) {
            if (running != job) {
                return;
            }
            running = null;
            if (isHeld(job.requestId())) {
                answer(job, cachedTokens);
            }
            release(job.requestId());
        }
        startNext();
    }

    private void answer(Job job, int cachedTokens) {
        String handle = "kv-" + nextHandle++;
        long kvBytes = settings.kvBytesPerToken * job.tokens();
        caches.put(handle, new KvCache(job.requestId(), job.body(), kvBytes));
        later(settings.kvLifetimeMillis, () -> expire(handle));
        job.call()
                .answer(
                        200,
                        Call.MAPPER
                                .createObjectNode()
                                .put("handle", handle)
                                .put("promptTokens", job.tokens())
                                .put("cachedTokens", cachedTokens)
                                .put("kvBytes", kvBytes));
    }

    private synchronized void expire(String handle) {
        if (caches.remove(handle) != null) {
            expiredCaches++;
        }
    }

    /** Counts the cached tokens of a prompt and caches its prefixes, evicting the least recently used ones. */
    private int touchPrefixes(Job job) {
        int matched = 0;
        boolean matching = true;
        for (JsonNode node : job.body().path("prefixHashes")) {
            long hash = node.asLong();
            boolean cached = prefixes.remove(hash);
            prefixes.add(hash);
            matching = matching && cached;
            matched += matching ? 1 : 0;
            if (!cached) {
                addEvent(true, hash);
            }
        }
        while (prefixes.size() > settings.cachedPrefixes) {
            long oldest = prefixes.iterator().next();
            prefixes.remove(oldest);
            addEvent(false, oldest);
        }
        return Math.min(job.tokens(), matched * settings.tokensPerPrefix);
    }

    private void addEvent(boolean stored, long hash) {
        long sequence = nextEvent++;
        if (settings.loseEveryNthEvent == 0 || sequence % settings.loseEveryNthEvent != 0) {
            events.add(new Event(sequence, stored, hash, nowMillis() + settings.eventLagMillis));
        }
    }

    private synchronized ArrayNode eventsAfter(long after) {
        ArrayNode list = Call.MAPPER.createArrayNode();
        long now = nowMillis();
        for (Event event : events) {
            if (event.sequence() > after && event.visibleAtMillis() <= now) {
                list.addObject()
                        .put("sequence", event.sequence())
                        .put("stored", event.stored())
                        .put("prefixHash", event.hash());
            }
        }
        return list;
    }

    /** Responds with the KV cache, for which the stand-ins substitute the prompt. */
    private void export(Call call) throws IOException {
        JsonNode body = call.json();
        KvCache kv;
        synchronized (this) {
            kv = caches.get(body.path("handle").asText());
            if (kv != null && body.path("pull").asBoolean()) {
                exports++;
                caches.remove(body.path("handle").asText());
            }
        }
        if (kv == null || !kv.requestId().equals(body.path("requestId").asText())) {
            call.answer(410);
            return;
        }
        ObjectNode response = Call.MAPPER
                .createObjectNode()
                .put("kvBytes", kv.kvBytes())
                .put("prompt", kv.body().path("prompt").asText());
        call.answer(200, response);
    }

    @Override
    long queueTokens() {
        long queued = queue.stream().mapToLong(Job::tokens).sum();
        return running == null ? queued : queued + running.tokens();
    }

    @Override
    void onCancel(String requestId) {
        queue.removeIf(job -> job.requestId().equals(requestId));
        caches.values().removeIf(kv -> kv.requestId().equals(requestId));
        if (running != null && running.requestId().equals(requestId)) {
            running = null;
            later(0, this::startNext);
        }
    }

    @Override
    void clearSpecificState() {
        queue.clear();
        caches.clear();
        prefixes.clear();
        events.clear();
        running = null;
    }

    /** Builds an engine. */
    public static final class Builder extends EngineBuilder<Builder> {

        private long microsPerToken;
        private long kvLifetimeMillis = 800;
        private long kvBytesPerToken = 1_000;
        private int cachedPrefixes = 1_000;
        private int tokensPerPrefix = 100;
        private long eventLagMillis;
        private int loseEveryNthEvent;

        private Builder() {
            super(0);
        }

        @Override
        Builder self() {
            return this;
        }

        /**
         * Sets the time to prefill one token.
         *
         * @param micros microseconds; the default is 0
         * @return this builder
         */
        public Builder microsPerToken(long micros) {
            this.microsPerToken = micros;
            return this;
        }

        /**
         * Sets how long a KV cache is kept.
         *
         * @param millis milliseconds; the default is 800
         * @return this builder
         */
        public Builder keepMillis(long millis) {
            this.kvLifetimeMillis = millis;
            return this;
        }

        /**
         * Sets the reported size of KV caches.
         *
         * @param bytes bytes per token; the default is 1,000
         * @return this builder
         */
        public Builder kvBytesPerToken(long bytes) {
            this.kvBytesPerToken = bytes;
            return this;
        }

        /**
         * Sets the size of the prefix cache and of a prefix.
         *
         * @param count capacity in prefixes; the default is 1,000
         * @param tokens number of tokens that each prefix adds to the previous one; the default is 100
         * @return this builder
         */
        public Builder prefixCache(int count, int tokens) {
            this.cachedPrefixes = count;
            this.tokensPerPrefix = tokens;
            return this;
        }

        /**
         * Sets the delay and loss of prefix events.
         *
         * @param lagMillis delay of each event in milliseconds; the default is 0
         * @param loseEveryNth n to lose every n-th event; 0, the default, loses none
         * @return this builder
         */
        public Builder events(long lagMillis, int loseEveryNth) {
            this.eventLagMillis = lagMillis;
            this.loseEveryNthEvent = loseEveryNth;
            return this;
        }

        /**
         * Starts the engine.
         *
         * @return the running engine
         * @throws IOException if the port is in use
         */
        public FakePrefillEngine start() throws IOException {
            FakePrefillEngine engine = new FakePrefillEngine(this);
            engine.recordLoad();
            engine.startServer();
            return engine;
        }
    }
}
