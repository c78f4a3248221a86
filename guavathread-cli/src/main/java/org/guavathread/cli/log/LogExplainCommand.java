package org.guavathread.cli.log;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.guavathread.cli.Command;
import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.UsageException;
import org.kohsuke.args4j.Option;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reconstructs the course of a request from gateway log lines. */
@CommandSpec(
        name = "log explain",
        summary = "Tells from the log lines of gateways what became of a request.",
        synopsis = "--request ID [--log FILE...]",
        details = {
            "Reads standard input without --log. Text before the first { of a line is skipped, so that lines of a log",
            "collector can be read; lines that are no JSON are counted and left out.",
        },
        example = "guavathread log explain --request 50cc4c50e4a87e64 --log curico-1.log",
        exitCodes = {ExitCode.OK, ExitCode.NEGATIVE, ExitCode.USAGE})
public final class LogExplainCommand implements Command {

    private static final ObjectMapper JSON = new ObjectMapper();

    @Option(name = "--request", metaVar = "ID", required = true, usage = "attempt id of the request")
    private String request;

    @Option(name = "--log", metaVar = "FILE", usage = "file with log lines; may be given several times")
    private List<String> logs = new ArrayList<>();

    private long unparsableLines;

    @Override
    public ExitCode run(Terminal terminal) {
        List<JsonNode> lines = new ArrayList<>();
        if (logs.isEmpty()) {
            read(new BufferedReader(new InputStreamReader(terminal.in(), StandardCharsets.UTF_8)), lines);
        }
        for (String log : logs) {
            try (BufferedReader reader = Files.newBufferedReader(Path.of(log))) {
                read(reader, lines);
            } catch (IOException | UncheckedIOException e) {
                throw new UsageException("--log " + log + " cannot be read: " + e.getMessage());
            }
        }
        RequestTimeline timeline = new RequestTimeline(request, lines);
        if (unparsableLines > 0) {
            terminal.err().println(unparsableLines + " lines are no JSON objects and were left out.");
        }
        if (!timeline.isFound()) {
            terminal.out().println("None of " + lines.size() + " lines names request " + request + ".");
            return ExitCode.NEGATIVE;
        }
        timeline.formattedEvents().forEach(terminal.out()::println);
        terminal.out().println(terminal.styled(Terminal.Style.BOLD, timeline.outcomeSummary()));
        return ExitCode.OK;
    }

    private void read(BufferedReader reader, List<JsonNode> lines) {
        reader.lines().forEach(line -> {
            Optional<JsonNode> parsed = parse(line);
            parsed.ifPresent(lines::add);
            unparsableLines += parsed.isPresent() ? 0 : 1;
        });
    }

    private static Optional<JsonNode> parse(String line) {
        int jsonStart = line.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(JSON.readTree(line.substring(jsonStart)));
        } catch (JsonProcessingException e) {
            // A log file may be truncated in the middle of a line; read() counts such lines.
            return Optional.empty();
        }
    }
}
