package org.guavathread.cli.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Shows the state and load of the engines, as the owners of their cells know them. */
@CommandSpec(
        name = "backends",
        summary = "Shows the engines as the hosts that own their cells see them.",
        synopsis = "--admin IP:PORT... | --sheet FILE [--json]",
        details = {
            FleetCommand.HOSTS_DETAIL,
            FleetCommand.JSON_DETAIL,
            "USED and QUEUE are from the last load report of the engine; \"-\" before the first one. Plain services report",
            "no load and are not listed.",
        },
        example = "guavathread backends --sheet sheet.json",
        exitCodes = {ExitCode.OK, ExitCode.USAGE, ExitCode.UNREACHABLE})
public final class BackendsCommand extends FleetCommand {

    @Override
    String page() {
        return "/backends";
    }

    @Override
    void writeJson(List<HostAnswer> answered, ObjectNode root) {
        ArrayNode list = root.putArray("backends");
        rows(answered).values().forEach(list::add);
    }

    @Override
    void print(List<HostAnswer> answered, Terminal terminal) {
        TextTable table =
                new TextTable("BACKEND", "KIND", "STATE", "RESERVED", "USED", "MEMORY", "QUEUE", "REPORTED BY");
        rows(answered)
                .values()
                .forEach(row -> table.row(
                        row.path("id").asText("?"),
                        row.path("kind").asText("?"),
                        row.path("state").asText("?"),
                        row.path("reservedPieces").asLong(),
                        knownOrDash(row.path("usedPieces")),
                        row.path("memoryPieces").asLong(),
                        knownOrDash(row.path("queueTokens")),
                        row.path("reportedBy").asText()));
        table.print(terminal);
    }

    private static Map<String, ObjectNode> rows(List<HostAnswer> answered) {
        Map<String, ObjectNode> rows = new TreeMap<>();
        for (HostAnswer host : answered) {
            for (JsonNode row : host.body()) {
                ObjectNode copy = JSON.createObjectNode();
                copy.setAll((ObjectNode) row);
                copy.put("reportedBy", host.address().toString());
                rows.put(row.path("id").asText() + " " + host.address(), copy);
            }
        }
        return rows;
    }

    private static String knownOrDash(JsonNode number) {
        return number.asLong(-1) < 0 ? "-" : number.asText();
    }
}
