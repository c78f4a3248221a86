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
final class RequestTimeline {

    /**
     * Events that the host logged within this time before the request are included, since they may explain its outcome.
     * Longer than it takes to detect a lost host.
     */
    private static final long HOST_EVENTS_LEAD_MILLIS = 3_000;

    private static final Set<String> HOST_EVENT_TYPES =
            Set.of("state", "dependency", "fleet", "phase", "order", "start", "stop");
    private static final Set<String> NON_DETAIL_FIELDS = Set.of("at", "host", "event", "id");

    private final List<JsonNode> requestEvents = new ArrayList<>();
    private final List<JsonNode> hostEvents = new ArrayList<>();

    /**
     * Selects the log lines that belong to a request.
     *
     * @param id attempt id of the request
     * @param lines log lines of one or more hosts, in any order
     */
    RequestTimeline(String id, List<JsonNode> lines) {
        lines.stream().filter(line -> id.equals(line.path("id").asText())).forEach(requestEvents::add);
        requestEvents.sort(Comparator.comparingLong(RequestTimeline::atMillis));
        if (requestEvents.isEmpty()) {
            return;
        }
        String host = requestEvents.get(0).path("host").asText();
        long fromMillis = atMillis(requestEvents.get(0)) - HOST_EVENTS_LEAD_MILLIS;
        long toMillis = atMillis(requestEvents.get(requestEvents.size() - 1));
        lines.stream()
                .filter(line -> HOST_EVENT_TYPES.contains(line.path("event").asText()))
                .filter(line -> host.equals(line.path("host").asText()))
                .filter(line -> atMillis(line) >= fromMillis && atMillis(line) <= toMillis)
                .forEach(hostEvents::add);
    }

    boolean isFound() {
        return !requestEvents.isEmpty();
    }

    private static long atMillis(JsonNode line) {
        return line.path("at").asLong();
    }

    /** Formats each event in one line, with its offset in milliseconds from the first event of the request. */
    List<String> formattedEvents() {
        List<JsonNode> all = new ArrayList<>(requestEvents);
        all.addAll(hostEvents);
        all.sort(Comparator.comparingLong(RequestTimeline::atMillis));
        long startMillis = atMillis(requestEvents.get(0));
        return all.stream()
                .map(line -> String.format(
                        "%+7d ms  %s  %s%s",
                        atMillis(line) - startMillis,
                        line.path("host").asText(),
                        line.path("event").asText(),
                        formattedFields(line)))
                .toList();
    }

    private static String formattedFields(JsonNode line) {
        StringBuilder text = new StringBuilder();
        line.fields().forEachRemaining(field -> {
            if (!NON_DETAIL_FIELDS.contains(field.getKey())) {
                text.append("  ")
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }

    /** Summarises how the request ended and why. */
    String outcomeSummary() {
        Optional<JsonNode> refused = lastEvent("refuse");
        if (refused.isPresent()) {
            return "Refused before dispatch: " + refused.get().path("reason").asText();
        }
        Optional<JsonNode> end = lastEvent("end");
        if (end.isEmpty()) {
            return "The lines end before the request does: its host stopped, or dropped lines.";
        }
        String outcome = end.get().path("outcome").asText();
        String summary =
                "Ended as \"" + outcome + "\" after " + end.get().path("millis").asLong() + " ms, "
                        + end.get().path("runs").asLong() + " runs";
        if (outcome.equals("answered")) {
            return summary + ", with status " + end.get().path("status").asInt() + ".";
        }
        return summary + ". " + failureReason(outcome);
    }

    private String failureReason(String outcome) {
        if (outcome.equals("caller gone")) {
            return "The caller closed its connection.";
        }
        if (outcome.contains("NO_ROOM")) {
            long refusedReservations = requestEvents.stream()
                    .filter(RequestTimeline::isRefusedReservation)
                    .count();
            return "No server had room: " + refusedReservations + " reservations were turned down"
                    + lastEvent("wait")
                            .map(wait -> ", the best waiting request of the host was "
                                    + wait.path("best").asText("not logged"))
                            .orElse("")
                    + ".";
        }
        return lastEvent("result")
                .map(result -> "The last send, to server "
                        + result.path("server").asText() + ", was "
                        + result.path("meaning").asText("turned down")
                        + (result.has("failure") ? ": " + result.path("failure").asText() : "."))
                .orElse("It was not sent to any server.");
    }

    private static boolean isRefusedReservation(JsonNode line) {
        return "result".equals(line.path("event").asText())
                && "reserve".equals(line.path("step").asText());
    }

    private Optional<JsonNode> lastEvent(String event) {
        return requestEvents.stream()
                .filter(line -> event.equals(line.path("event").asText()))
                .reduce((a, b) -> b);
    }
}
