package org.guavathread.cli.demo;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a caller got for a request that is not streamed.
 *
 * @param status HTTP status; 0 if the connection broke
 * @param body the answer; a missing node if there is none
 * @param replayed whether the answer is that of an earlier send of the same request
 * @param failure why there is no answer; empty if there is one
 * @param millis time until the whole answer was there, in milliseconds
 */
record Reply(int status, JsonNode body, boolean replayed, String failure, long millis) {

    boolean isOk() {
        return status == 200;
    }

    String code() {
        return body.at("/error/code").asText("");
    }

    /** Gives what a refusal says about the run: {@code "not_run"} or {@code "unknown"}; empty for an answer. */
    String run() {
        return body.at("/error/run").asText("");
    }

    String shown() {
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
