package org.guavathread.cli.fleet;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.Terminal.Style;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Shows which sheets each host accepted and refused. */
@CommandSpec(
        name = "audit",
        summary =
                "Shows which sheets the hosts accepted, what these changed, and which sheet was refused last and why.",
        synopsis = "--admin IP:PORT... | --sheet FILE [--json]",
        details = {
            FleetCommand.HOSTS_DETAIL,
            FleetCommand.JSON_DETAIL,
        },
        example = "guavathread audit --sheet sheet.json",
        exitCodes = {ExitCode.OK, ExitCode.USAGE, ExitCode.UNREACHABLE})
public final class AuditCommand extends FleetCommand {

    @Override
    String page() {
        return "/audit";
    }

    @Override
    void writeJson(List<HostAnswer> answered, ObjectNode root) {
        ArrayNode hosts = root.putArray("hosts");
        answered.forEach(host ->
                hosts.addObject().put("address", host.address().toString()).set("audit", host.body()));
    }

    @Override
    void print(List<HostAnswer> answered, Terminal terminal) {
        TextTable table = new TextTable("ADMIN", "SHEET", "ACCEPTED", "DIGEST");
        answered.forEach(host -> table.row(
                host.address(),
                host.body().path("version").asLong(),
                timeOf(host.body().path("acceptedAtMillis")),
                host.body().path("digest").asText("")));
        table.print(terminal);
        answered.forEach(host -> printRefused(host, terminal));
        changesByVersion(answered).forEach((version, record) -> printChanges(version, record, terminal));
    }

    private static void printRefused(HostAnswer host, Terminal terminal) {
        JsonNode refused = host.body().path("refused");
        if (!refused.isObject()) {
            return;
        }
        String line = host.address() + " refused version " + refused.path("version") + " from "
                + refused.path("source").asText("?") + ":";
        terminal.out().println(terminal.styled(Style.WARNING, line));
        refused.path("faults").forEach(fault -> terminal.out().println("  " + fault.asText()));
    }

    private static void printChanges(long version, JsonNode record, Terminal terminal) {
        terminal.out()
                .println(terminal.styled(
                        Style.BOLD, "version " + version + " (before: " + record.path("previous") + ")"));
        record.path("changes").forEach(change -> terminal.out().println("  " + change.asText()));
    }

    /** Uses the history of the host that recorded the most versions, so that no change is listed twice. */
    private static Map<Long, JsonNode> changesByVersion(List<HostAnswer> answered) {
        Map<Long, JsonNode> records = new TreeMap<>(Comparator.reverseOrder());
        answered.stream()
                .map(host -> host.body().path("changes"))
                .max(Comparator.comparingInt(JsonNode::size))
                .ifPresent(changes -> changes.forEach(
                        record -> records.put(record.path("version").asLong(), record)));
        return records;
    }

    private static String timeOf(JsonNode millis) {
        return millis.asLong() == 0
                ? "-"
                : Instant.ofEpochMilli(millis.asLong()).toString();
    }
}
