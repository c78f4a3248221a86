package org.guavathread.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A decode engine whose memory is divided into pieces. A request reserves pieces, imports its KV cache from a prefill
 * engine, and can be decoded from any offset. The tokens depend only on the prompt, so that every engine continues an
 * output in the same way.
 *
 * <p>A request frees its pieces when its output is complete; after a broken stream, it keeps them until it is
 * cancelled.
 */
public final class FakeDecodeEngine extends FakeEngine {

    private static final Duration KV_PULL_TIMEOUT = Duration.ofSeconds(5);

    private final Builder settings;
    private final Map<String, String> prompts = new HashMap<>();
    private final Map<String, Long> decodings = new HashMap<>();
    private long nextDecoding;
    private long tokensSent;

    private FakeDecodeEngine(Builder builder) {
        super(builder.port(), "decode", builder.settings());
        this.settings = builder;
    }

    /**
     * Creates a builder.
     *
     * @return a builder with 20 memory pieces and no delay between tokens
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Computes the token that every stand-in decode engine produces.
     *
     * @param prompt the prompt
     * @param index index of the token
     * @return the text of the token
     */
    public static String tokenOf(String prompt, int index) {
        return " t" + index + "-" + Integer.toHexString(prompt.hashCode() * 31 + index);
    }

    /**
     * Counts the tokens that were written to streams.
     *
     * @return the count
     */
    public synchronized long tokensSent() {
        return tokensSent;
    }

    @Override
    boolean runSpecific(Call call) throws IOException {
        if (call.is("POST /engine/reserve")) {
            reserve(call);
        } else if (call.is("POST /engine/import")) {
            importKv(call);
        } else if (call.is("POST /engine/decode")) {
            decode(call);
        } else {
            return false;
        }
        return true;
    }

    private void reserve(Call call) throws IOException {
        JsonNode body = call.json();
        String requestId = body.path("requestId").asText();
        int pieces = body.path("pieces").asInt();
        boolean reserved;
        synchronized (this) {
            reserved = isHeld(requestId) || pieces <= freePieces();
            if (reserved && !isHeld(requestId)) {
                hold(requestId, body.path("owner"), "reserved", pieces);
            }
        }
        call.answer(reserved ? 200 : 409);
    }

    private void importKv(Call call) throws IOException {
        JsonNode body = call.json();
        String requestId = body.path("requestId").asText();
        if (!isHeld(requestId)) {
            call.answer(409);
            return;
        }
        ObjectNode pull = Call.MAPPER
                .createObjectNode()
                .put("requestId", requestId)
                .put("handle", body.path("handle").asText())
                .put("pull", true);
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + body.path("from").asText() + "/engine/export"))
                .timeout(KV_PULL_TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(pull.toString()))
                .build();
        HTTP.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .whenComplete((response, failure) -> onKvPulled(call, requestId, response, failure));
    }

    private void onKvPulled(Call call, String requestId, HttpResponse<byte[]> response, Throwable failure) {
        if (failure != null || response.statusCode() != 200) {
            call.answer(502);
            return;
        }
        try {
            JsonNode kv = Call.MAPPER.readTree(response.body());
            long delayMillis =
                    settings.kvBytesPerMilli == 0 ? 0 : kv.path("kvBytes").asLong() / settings.kvBytesPerMilli;
            later(
                    delayMillis,
                    () -> onKvImported(call, requestId, kv.path("prompt").asText()));
        } catch (IOException e) {
            call.answer(502);
        }
    }

    private void onKvImported(Call call, String requestId, String prompt) {
        if (faults().crashesOn(prompt)) {
            crash();
            return;
        }
        boolean held;
        synchronized (this) {
            held = isHeld(requestId);
            if (held) {
                prompts.put(requestId, prompt);
                state(requestId, "imported");
            }
        }
        call.answer(held ? 200 : 409);
    }

    private void decode(Call call) throws IOException {
        JsonNode body = call.json();
        String requestId = body.path("requestId").asText();
        String prompt;
        long decoding;
        synchronized (this) {
            prompt = prompts.get(requestId);
            decoding = nextDecoding++;
            if (prompt != null) {
                decodings.put(requestId, decoding);
                state(requestId, "decoding");
            }
        }
        if (prompt == null) {
            call.answer(409);
            return;
        }
        countRun(requestId);
        if (call.beginStream("text/event-stream")) {
            int offset = body.path("offset").asInt();
            int endIndex = Math.min(body.path("maxTokens").asInt(), settings.outputTokens);
            Decoding started = new Decoding(call, requestId, decoding, prompt, offset, endIndex);
            later(settings.millisPerToken, () -> sendToken(started, offset));
        }
    }

    private record Decoding(Call call, String requestId, long number, String prompt, int offset, int endIndex) {}

    private void sendToken(Decoding stream, int index) {
        synchronized (this) {
            if (!Long.valueOf(stream.number()).equals(decodings.get(stream.requestId()))) {
                stream.call().drop();
                return;
            }
        }
        int sent = index - stream.offset();
        if (sent == faults().dropStreamAfterTokens()) {
            state(stream.requestId(), "broken");
            stream.call().drop();
            return;
        }
        if (sent == faults().stallStreamAfterTokens()) {
            state(stream.requestId(), "stalled");
            return;
        }
        if (index >= stream.endIndex()) {
            finish(stream);
            return;
        }
        ObjectNode event =
                Call.MAPPER.createObjectNode().put("index", index).put("token", tokenOf(stream.prompt(), index));
        if (!stream.call().event(event)) {
            state(stream.requestId(), "broken");
            return;
        }
        synchronized (this) {
            tokensSent++;
        }
        later(settings.millisPerToken, () -> sendToken(stream, index + 1));
    }

    private void finish(Decoding stream) {
        synchronized (this) {
            prompts.remove(stream.requestId());
            decodings.remove(stream.requestId());
            release(stream.requestId());
        }
        stream.call().event(Call.MAPPER.createObjectNode().put("done", true));
        stream.call().endStream();
    }

    @Override
    long queueTokens() {
        return 0;
    }

    @Override
    void onCancel(String requestId) {
        prompts.remove(requestId);
        decodings.remove(requestId);
    }

    @Override
    void clearSpecificState() {
        prompts.clear();
        decodings.clear();
    }

    /** Builds an engine. */
    public static final class Builder extends EngineBuilder<Builder> {

        private static final int DEFAULT_PIECES = 20;

        private long millisPerToken;
        private long kvBytesPerMilli;
        private int outputTokens = Integer.MAX_VALUE;

        private Builder() {
            super(DEFAULT_PIECES);
        }

        @Override
        Builder self() {
            return this;
        }

        /**
         * Sets the time between two tokens of a stream.
         *
         * @param millis milliseconds; the default is 0
         * @return this builder
         */
        public Builder millisPerToken(long millis) {
            this.millisPerToken = millis;
            return this;
        }

        /**
         * Sets the rate at which KV caches are imported.
         *
         * @param bytes bytes per millisecond; with 0, the default, imports take no time
         * @return this builder
         */
        public Builder kvBytesPerMilli(long bytes) {
            this.kvBytesPerMilli = bytes;
            return this;
        }

        /**
         * Sets the length at which an output ends before its requested limit.
         *
         * @param tokens number of tokens; by default, outputs end at the requested limit
         * @return this builder
         */
        public Builder outputTokens(int tokens) {
            this.outputTokens = tokens;
            return this;
        }

        /**
         * Starts the engine.
         *
         * @return the running engine
         * @throws IOException if the port is in use
         */
        public FakeDecodeEngine start() throws IOException {
            FakeDecodeEngine engine = new FakeDecodeEngine(this);
            engine.recordLoad();
            engine.startServer();
            return engine;
        }
    }
}
