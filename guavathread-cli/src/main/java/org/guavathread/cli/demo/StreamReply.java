package org.guavathread.cli.demo;

import java.util.List;
import java.util.Locale;

/**
 * Response to a streamed request.
 *
 * @param status HTTP status; 0 if the connection broke before a status was received
 * @param tokens the tokens in the order of their arrival
 * @param complete whether the stream ended with its end marker
 * @param firstTokenMillis time to the first token, in milliseconds; -1 if none came
 * @param endedAtMillis when the stream ended, in milliseconds since the epoch
 * @param failure the code of a refusal, or why the connection broke; empty for a complete stream
 */
record StreamReply(
        int status, List<String> tokens, boolean complete, long firstTokenMillis, long endedAtMillis, String failure) {

    String formatted() {
        if (status != 200) {
            return status + "  " + failure;
        }
        return String.format(
                Locale.ROOT,
                "%d  %d tokens, first after %d ms, %s",
                status,
                tokens.size(),
                firstTokenMillis,
                complete ? "whole" : "cut off");
    }
}
