package org.guavathread.cli.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Timeline of one request, built from gateway log lines: the events of the request, merged with the changes that its
 * host logged meanwhile for backend servers, the store and other hosts.
 */
final class RequestStory {

    /**
     * Events that the host logged within this time before the request are included, since they may explain its outcome.
     * Longer than it takes to detect a lost host.
     */
    private static final long NEWS_BEFORE_MILLIS = 3_000;

    private static final Set<String> NEWS = Set.of("state", "dependency", "fleet", "phase", "order", "start", "stop");
    private static final Set<String> SHOWN_APART = Set.of("at", "host", "event", "id");

    private final List<JsonNode> own = new ArrayList<>();
    private final List<JsonNode> news = new ArrayList<>();

    /**
     * Selects the log lines that belong to a request.
     *
     * @param id attempt id of the request
     * @param lines log lines of one or more hosts, in any order
     */
    RequestStory(String id, List<JsonNode> lines) {
        lines.stream().filter(line -> id.equals(line.path("id").asText())).forEach(own::add);
        own.sort(Comparator.comparingLong(RequestStory::at));
        if (own.isEmpty()) {
            return;
        }
        String host = own.get(0).path("host").asText();
        long from = at(own.get(0)) - NEWS_BEFORE_MILLIS;
        long to = at(own.get(own.size() - 1));
        lines.stream()
                .filter(line -> NEWS.contains(line.path("event").asText()))
                .filter(line -> host.equals(line.path("host").asText()))
                .filter(line -> at(line) >= from && at(line) <= to)
                .forEach(news::add);
    }

    boolean isFound() {
        return !own.isEmpty();
    }

    private static long at(JsonNode line) {
        return line.path("at").asLong();
    }

    /** Formats each event in one line, with its offset in milliseconds from the first event of the request. */
    List<String> steps() {
        List<JsonNode> all = new ArrayList<>(own);
        all.addAll(news);
        all.sort(Comparator.comparingLong(RequestStory::at));
        long begin = at(own.get(0));
        return all.stream()
                .map(line -> String.format(
                        "%+7d ms  %s  %s%s",
                        at(line) - begin,
                        line.path("host").asText(),
                        line.path("event").asText(),
                        fieldsOf(line)))
                .toList();
    }

    private static String fieldsOf(JsonNode line) {
        StringBuilder text = new StringBuilder();
        line.fields().forEachRemaining(field -> {
            if (!SHOWN_APART.contains(field.getKey())) {
                text.append("  ")
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }

    /** Summarises how the request ended and why. */
    String cause() {
        Optional<JsonNode> refused = last("refuse");
        if (refused.isPresent()) {
            return "Refused before dispatch: " + refused.get().path("reason").asText();
        }
        Optional<JsonNode> end = last("end");
        if (end.isEmpty()) {
            return "The lines end before the request does: its host stopped, or dropped lines.";
        }
        String outcome = end.get().path("outcome").asText();
        String ended =
                "Ended as \"" + outcome + "\" after " + end.get().path("millis").asLong() + " ms, "
                        + end.get().path("runs").asLong() + " runs";
        if (outcome.equals("answered")) {
            return ended + ", with status " + end.get().path("status").asInt() + ".";
        }
        return ended + ". " + decisive(outcome);
    }

    private String decisive(String outcome) {
        if (outcome.equals("caller gone")) {
            return "The caller closed its connection.";
        }
        if (outcome.contains("NO_ROOM")) {
            long tries =
                    own.stream().filter(RequestStory::isReservationWithoutRoom).count();
            return "No server had room: " + tries + " reservations were turned down"
                    + last("wait")
                            .map(wait -> ", the best waiting request of the host was "
                                    + wait.path("best").asText("not logged"))
                            .orElse("")
                    + ".";
        }
        return last("result")
                .map(result -> "The last send, to server "
                        + result.path("server").asText() + ", was "
                        + result.path("meaning").asText("turned down")
                        + (result.has("failure") ? ": " + result.path("failure").asText() : "."))
                .orElse("It was not sent to any server.");
    }

    private static boolean isReservationWithoutRoom(JsonNode line) {
        return "result".equals(line.path("event").asText())
                && "reserve".equals(line.path("step").asText());
    }

    private Optional<JsonNode> last(String event) {
        return own.stream()
                .filter(line -> event.equals(line.path("event").asText()))
                .reduce((a, b) -> b);
    }
}
