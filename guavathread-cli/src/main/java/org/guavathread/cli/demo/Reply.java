package org.guavathread.cli.demo;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Response to a request that is not streamed.
 *
 * @param status HTTP status; 0 if the connection broke
 * @param body the response body; a missing node if there is none
 * @param replayed whether this is the stored answer to an earlier send of the same request
 * @param failure why there is no response; empty if there is one
 * @param millis time until the whole response was received, in milliseconds
 */
record Reply(int status, JsonNode body, boolean replayed, String failure, long millis) {

    boolean isOk() {
        return status == 200;
    }

    String code() {
        return body.at("/error/code").asText("");
    }

    /** Returns the run state of a refusal, {@code "not_run"} or {@code "unknown"}; empty for an answer. */
    String run() {
        return body.at("/error/run").asText("");
    }

    String formatted() {
        if (!failure.isEmpty()) {
            return "connection broke: " + failure;
        }
        String content = body.at("/choices/0/message/content").asText("");
        String text = isOk()
                ? content.isEmpty() ? body.toString() : "\"" + content.strip() + "\""
                : code() + ", " + run() + ": " + body.at("/error/message").asText();
        return String.format(
                Locale.ROOT, "%d in %d ms%s  %s", status, millis, replayed ? " (answer of the first send)" : "", text);
    }
}
