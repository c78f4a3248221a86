package org.guavathread.cli.fleet;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Shows the admitted and refused requests of each workspace, summed over all hosts. */
@CommandSpec(
        name = "workspaces",
        summary = "Shows rate, burst, use and refusals of each workspace, summed over all hosts, worst served first.",
        synopsis = "--admin IP:PORT... | --sheet FILE [--json]",
        details = {
            FleetCommand.HOSTS_DETAIL,
            FleetCommand.JSON_DETAIL,
            "Counts begin at the start of each host. Workspaces that sent nothing are not listed.",
        },
        example = "guavathread workspaces --sheet sheet.json",
        exitCodes = {ExitCode.OK, ExitCode.USAGE, ExitCode.UNREACHABLE})
public final class WorkspacesCommand extends FleetCommand {

    /** Totals of a workspace over all hosts. Rate and burst differ between hosts only while a new sheet spreads. */
    private record Sum(String name, long rate, long burst, long admitted, long tokens, long refused, long rateLimited) {

        Sum plus(JsonNode row) {
            return new Sum(
                    name,
                    Math.max(rate, row.path("ratePerSecond").asLong()),
                    Math.max(burst, row.path("burst").asLong()),
                    admitted + row.path("admitted").asLong(),
                    tokens + row.path("admittedTokens").asLong(),
                    refused + row.path("refused").asLong(),
                    rateLimited + row.path("rateLimited").asLong());
        }

        double admittedShare() {
            long all = admitted + refused;
            return all == 0 ? 1 : (double) admitted / all;
        }
    }

    @Override
    String page() {
        return "/workspaces";
    }

    @Override
    void writeJson(List<HostAnswer> answered, ObjectNode root) {
        ArrayNode list = root.putArray("workspaces");
        sums(answered)
                .forEach(sum -> list.addObject()
                        .put("workspace", sum.name())
                        .put("ratePerSecond", sum.rate())
                        .put("burst", sum.burst())
                        .put("admitted", sum.admitted())
                        .put("admittedTokens", sum.tokens())
                        .put("refused", sum.refused())
                        .put("rateLimited", sum.rateLimited())
                        .put("admittedShare", sum.admittedShare()));
    }

    @Override
    void print(List<HostAnswer> answered, Terminal terminal) {
        TextTable table = new TextTable(
                "WORKSPACE", "RATE/S", "BURST", "ADMITTED", "TOKENS", "REFUSED", "RATE-LIMITED", "SERVED");
        sums(answered)
                .forEach(sum -> table.row(
                        sum.name(),
                        sum.rate(),
                        sum.burst(),
                        sum.admitted(),
                        sum.tokens(),
                        sum.refused(),
                        sum.rateLimited(),
                        String.format(Locale.ROOT, "%.1f%%", 100 * sum.admittedShare())));
        table.print(terminal);
    }

    private static List<Sum> sums(List<HostAnswer> answered) {
        Map<String, Sum> sums = new TreeMap<>();
        for (HostAnswer host : answered) {
            for (JsonNode row : host.body()) {
                String name = row.path("workspace").asText("?");
                sums.put(
                        name,
                        sums.getOrDefault(name, new Sum(name, 0, 0, 0, 0, 0, 0)).plus(row));
            }
        }
        return sums.values().stream()
                .sorted(Comparator.comparingDouble(Sum::admittedShare).thenComparing(Sum::name))
                .toList();
    }
}
