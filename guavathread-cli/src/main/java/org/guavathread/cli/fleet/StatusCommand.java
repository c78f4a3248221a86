package org.guavathread.cli.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.Terminal.Style;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Shows the state of each host. */
@CommandSpec(
        name = "status",
        summary = "Shows the state of each host, and whether all hosts have the same sheet in force.",
        synopsis = "--admin IP:PORT... | --sheet FILE [--json]",
        details = {
            FleetCommand.HOSTS_DETAIL,
            FleetCommand.JSON_DETAIL,
            "LEASE: held, held* (the host does not use what its newest epoch added, until that is settled) or lost.",
        },
        example = "guavathread status --admin 127.0.0.1:8082 --admin 127.0.0.1:8092",
        exitCodes = {ExitCode.OK, ExitCode.USAGE, ExitCode.UNREACHABLE})
public final class StatusCommand extends FleetCommand {

    @Override
    String page() {
        return "/status";
    }

    @Override
    void writeJson(List<HostAnswer> answered, ObjectNode root) {
        ArrayNode hosts = root.putArray("hosts");
        answered.forEach(host -> {
            ObjectNode entry = hosts.addObject().put("address", host.address().toString());
            if (host.body() instanceof ObjectNode status) {
                entry.setAll(status);
            }
        });
        Map<Long, List<String>> versions = hostsByVersion(answered);
        root.put("sameSheetVersion", versions.size() <= 1);
        ObjectNode byVersion = root.putObject("hostsBySheetVersion");
        versions.forEach((version, names) -> names.forEach(byVersion.withArrayProperty(Long.toString(version))::add));
    }

    @Override
    void print(List<HostAnswer> answered, Terminal terminal) {
        TextTable table = new TextTable(
                "HOST", "ADMIN", "SHEET", "READY", "DRAINING", "ISOLATED", "LEASE", "PEERS", "ACTIVE", "QUEUED");
        answered.forEach(host -> {
            JsonNode status = host.body();
            table.row(
                    status.path("host").asText("?"),
                    host.address(),
                    status.path("sheetVersion").asLong(),
                    yesOrNo(status.path("ready")),
                    yesOrNo(status.path("draining")),
                    yesOrNo(status.path("isolated")),
                    lease(status),
                    peers(status.path("peers")),
                    status.path("activeRequests").asLong(),
                    status.path("queuedRequests").asLong());
        });
        table.print(terminal);
        Map<Long, List<String>> versions = hostsByVersion(answered);
        if (versions.size() > 1) {
            String listed = versions.entrySet().stream()
                    .map(e -> e.getKey() + " on " + String.join(", ", e.getValue()))
                    .collect(Collectors.joining("; "));
            terminal.out().println(terminal.styled(Style.WARNING, "Sheet versions differ: " + listed));
        }
    }

    private static Map<Long, List<String>> hostsByVersion(List<HostAnswer> answered) {
        return answered.stream()
                .map(HostAnswer::body)
                .collect(Collectors.groupingBy(
                        status -> status.path("sheetVersion").asLong(),
                        TreeMap::new,
                        Collectors.mapping(status -> status.path("host").asText("?"), Collectors.toList())));
    }

    private static String yesOrNo(JsonNode flag) {
        return flag.asBoolean() ? "yes" : "no";
    }

    private static String lease(JsonNode status) {
        if (!status.path("leaseHeld").asBoolean()) {
            return "lost";
        }
        return status.path("epochSettled").asBoolean() ? "held" : "held*";
    }

    /** Formats the number of peers in each status, with the names of the suspect ones. */
    private static String peers(JsonNode peers) {
        Map<String, List<String>> byStatus = StreamSupport.stream(peers.spliterator(), false)
                .collect(Collectors.groupingBy(
                        peer -> peer.path("status").asText("unknown"),
                        TreeMap::new,
                        Collectors.mapping(peer -> peer.path("host").asText("?"), Collectors.toList())));
        if (byStatus.isEmpty()) {
            return "none";
        }
        return byStatus.entrySet().stream()
                .map(e -> e.getValue().size() + " " + e.getKey()
                        + (e.getKey().equals("suspect") ? " (" + String.join(", ", e.getValue()) + ")" : ""))
                .collect(Collectors.joining(", "));
    }
}
