package org.guavathread.router.flow;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.router.caller.CallerExchange.StreamBody;

/** Writes generated tokens to the caller, as server-sent events or as one JSON answer at the end. */
final class AnswerSink {

    private final RequestContext context;
    private final LanguageRequest request;
    private final StringBuilder fullText = new StringBuilder();
    private Optional<StreamBody> stream = Optional.empty();
    private int tokens;

    AnswerSink(RequestContext context, LanguageRequest request) {
        this.context = context;
        this.request = request;
    }

    /** Writes tokens; returns false if the caller has disconnected. */
    boolean write(List<String> next) {
        for (String token : next) {
            tokens++;
            if (!request.stream()) {
                fullText.append(token);
            } else if (!open().map(s -> s.write(event(token))).orElse(false)) {
                return false;
            }
        }
        return request.stream() || !context.exchange().isFinished();
    }

    /** Tells whether the stream to the caller has begun, so that a refusal can no longer be written. */
    boolean isOpen() {
        return stream.isPresent();
    }

    int tokens() {
        return tokens;
    }

    void finish() {
        if (!request.stream()) {
            context.answer(200, Map.of("Content-Type", "application/json"), RequestRouter.json(answer()));
            return;
        }
        open().ifPresent(s -> {
            s.write(bytes("data: [DONE]\n\n"));
            s.finish();
        });
        context.streamed();
    }

    /** Aborts the stream, so that the caller can tell that its answer is incomplete. */
    void abort(String reason) {
        stream.ifPresent(StreamBody::abort);
        context.drop(reason);
    }

    private Optional<StreamBody> open() {
        if (stream.isEmpty()) {
            stream = context.exchange().openStream("text/event-stream");
        }
        return stream;
    }

    private byte[] event(String token) {
        Map<String, Object> chunk = Map.of(
                "id", context.id().value(),
                "object", "chat.completion.chunk",
                "model", request.model().value(),
                "choices", List.of(Map.of("index", 0, "delta", Map.of("content", token))));
        return bytes("data: " + new String(RequestRouter.json(chunk), StandardCharsets.UTF_8) + "\n\n");
    }

    private Map<String, Object> answer() {
        return Map.of(
                "id", context.id().value(),
                "object", "chat.completion",
                "model", request.model().value(),
                "choices",
                        List.of(Map.of(
                                "index", 0, "message", Map.of("role", "assistant", "content", fullText.toString()))),
                "usage",
                        Map.of(
                                "prompt_tokens",
                                request.promptTokens(),
                                "completion_tokens",
                                tokens,
                                "total_tokens",
                                request.promptTokens() + tokens));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
