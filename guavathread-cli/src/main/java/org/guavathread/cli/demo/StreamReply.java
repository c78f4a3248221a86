package org.guavathread.cli.demo;

import java.util.List;
import java.util.Locale;

/**
 * Response to a streamed request.
 *
 * @param status HTTP status; 0 if the connection broke before a status was received
 * @param tokens the tokens in the order of their arrival
 * @param done whether the stream ended with its end marker
 * @param firstTokenMillis time to the first token, in milliseconds; -1 if none came
 * @param endedAtMillis when the stream ended, in milliseconds since the epoch
 * @param refusal the code of a refusal, or why the connection broke; empty for a complete stream
 */
record StreamReply(
        int status, List<String> tokens, boolean done, long firstTokenMillis, long endedAtMillis, String refusal) {

    String shown() {
        if (status != 200) {
            return status + "  " + refusal;
        }
        return String.format(
                Locale.ROOT,
                "%d  %d tokens, first after %d ms, %s",
                status,
                tokens.size(),
                firstTokenMillis,
                done ? "whole" : "cut off");
    }
}
