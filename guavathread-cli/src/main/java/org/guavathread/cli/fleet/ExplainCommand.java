package org.guavathread.cli.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.UsageException;
import org.kohsuke.args4j.Option;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Shows the steps of a request, or the configuration of a workspace or a route. */
@CommandSpec(
        name = "explain",
        summary = "Explains what became of a request, or how a workspace or a route is set up.",
        synopsis = "--request ID | --workspace NAME | --route NAME  --admin IP:PORT... | --sheet FILE [--json]",
        details = {
            FleetCommand.HOSTS_DETAIL,
            FleetCommand.JSON_DETAIL,
            "A host keeps the steps of its latest 2,000 requests. Hosts that know nothing of the name are left out; if no",
            "host knows it, the exit code is 1.",
        },
        example = "guavathread explain --request curico-1-1a2b-7 --sheet sheet.json",
        exitCodes = {ExitCode.OK, ExitCode.NEGATIVE, ExitCode.USAGE, ExitCode.UNREACHABLE})
public final class ExplainCommand extends FleetCommand {

    @Option(name = "--request", metaVar = "ID", usage = "request, as the header Guavathread-Request-Id names it")
    private String request;

    @Option(name = "--workspace", metaVar = "NAME", usage = "workspace, as the sheet names it")
    private String workspace;

    @Option(name = "--route", metaVar = "NAME", usage = "route, as the sheet names it")
    private String route;

    @Override
    String page() {
        Map<String, String> given = new LinkedHashMap<>();
        given.put("request", request);
        given.put("workspace", workspace);
        given.put("route", route);
        given.values().removeIf(value -> value == null || value.isBlank());
        if (given.size() != 1) {
            throw new UsageException("explain: " + given.size() + " subjects are given (" + given
                    + "); give exactly one of --request ID, --workspace NAME and --route NAME.");
        }
        Map.Entry<String, String> subject = given.entrySet().iterator().next();
        return "/explain?" + subject.getKey() + "=" + URLEncoder.encode(subject.getValue(), StandardCharsets.UTF_8);
    }

    @Override
    ExitCode exitCode(List<HostAnswer> answered) {
        return answered.stream().anyMatch(ExplainCommand::isKnown) ? ExitCode.OK : ExitCode.NEGATIVE;
    }

    @Override
    void writeJson(List<HostAnswer> answered, ObjectNode root) {
        ArrayNode hosts = root.putArray("hosts");
        answered.stream()
                .filter(ExplainCommand::isKnown)
                .forEach(host -> hosts.addObject()
                        .put("address", host.address().toString())
                        .set("answer", host.body()));
    }

    @Override
    void print(List<HostAnswer> answered, Terminal terminal) {
        List<HostAnswer> known =
                answered.stream().filter(ExplainCommand::isKnown).toList();
        if (known.isEmpty()) {
            String reason = answered.get(0).body().path("error").asText("");
            terminal.out()
                    .println(
                            reason.isEmpty()
                                    ? "No host that answered knows the request; it may be older than the latest 2,000"
                                            + " of its host."
                                    : reason);
            return;
        }
        Map<JsonNode, List<String>> hostsByAnswer = new LinkedHashMap<>();
        known.forEach(host -> hostsByAnswer
                .computeIfAbsent(host.body(), body -> new java.util.ArrayList<>())
                .add(host.address().toString()));
        hostsByAnswer.forEach((body, hosts) -> {
            terminal.out().println(terminal.styled(Terminal.Style.BOLD, String.join(", ", hosts)));
            printAnswer(body, terminal);
        });
    }

    private static void printAnswer(JsonNode body, Terminal terminal) {
        body.fields().forEachRemaining(field -> {
            if (!field.getKey().equals("steps")) {
                terminal.out().println("  " + field.getKey() + ": " + formatted(field.getValue()));
            }
        });
        body.path("steps")
                .forEach(step -> terminal.out()
                        .println("  "
                                + Instant.ofEpochMilli(step.path("atMillis").asLong()) + "  "
                                + step.path("text").asText()));
    }

    private static String formatted(JsonNode value) {
        if (!value.isArray()) {
            return value.asText();
        }
        List<String> texts = new java.util.ArrayList<>();
        value.forEach(each -> texts.add(each.asText()));
        return String.join(", ", texts);
    }

    private static boolean isKnown(HostAnswer host) {
        JsonNode body = host.body();
        return !body.has("error") && (!body.has("steps") || !body.path("steps").isEmpty());
    }
}
