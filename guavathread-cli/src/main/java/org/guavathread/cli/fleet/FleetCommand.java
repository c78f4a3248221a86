package org.guavathread.cli.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.guavathread.cli.Command;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.Terminal.Style;
import org.guavathread.cli.UsageException;
import org.guavathread.cli.sheet.SheetFiles;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.SocketAddressText;
import org.kohsuke.args4j.Option;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Base class of commands that fetch the same admin page from several hosts. */
abstract class FleetCommand implements Command {

    /** Help text on the choice of hosts, for all commands of this type. */
    static final String HOSTS_DETAIL = "The hosts are those given with --admin or, without it, all hosts of the sheet.";

    /** Help text on the output format, for all commands of this type. */
    static final String JSON_DETAIL = "A table is printed on a terminal, JSON elsewhere or with --json.";

    static final ObjectMapper JSON = new ObjectMapper();

    @Option(
            name = "--admin",
            metaVar = "IP:PORT",
            usage = "admin address of a host; may be given several times, or with commas")
    private List<String> admin = new ArrayList<>();

    @Option(name = "--sheet", metaVar = "FILE", usage = "sheet that names the hosts; not read if --admin is given")
    private String sheet;

    @Option(name = "--json", usage = "print JSON on a terminal, too")
    private boolean json;

    /** Returns the path of the admin page, with its query string. */
    abstract String page();

    /** Adds the answers to the JSON output. */
    abstract void writeJson(List<HostAnswer> answered, ObjectNode root);

    /** Prints the answers in readable form. */
    abstract void print(List<HostAnswer> answered, Terminal terminal);

    /** Determines the exit code from the answers; called only if all hosts answered. */
    ExitCode exitCode(List<HostAnswer> answered) {
        return ExitCode.OK;
    }

    @Override
    public final ExitCode run(Terminal terminal) {
        String page = page();
        List<HostAnswer> answers = new AdminClient().fetch(addresses(), page);
        List<HostAnswer> answered =
                answers.stream().filter(HostAnswer::isAnswered).toList();
        List<HostAnswer> unanswered =
                answers.stream().filter(a -> !a.isAnswered()).toList();
        if (json || !terminal.isInteractive()) {
            terminal.out().println(jsonOf(answered, unanswered).toPrettyString());
        } else {
            if (!answered.isEmpty()) {
                print(answered, terminal);
            }
            unanswered.forEach(
                    host -> terminal.out().println(terminal.styled(Style.BAD, host.address() + ": " + host.failure())));
        }
        return unanswered.isEmpty() ? exitCode(answered) : ExitCode.UNREACHABLE;
    }

    private ObjectNode jsonOf(List<HostAnswer> answered, List<HostAnswer> unanswered) {
        ObjectNode root = JSON.createObjectNode();
        writeJson(answered, root);
        ArrayNode list = root.putArray("notAnswered");
        unanswered.forEach(host ->
                list.addObject().put("address", host.address().toString()).put("reason", host.failure()));
        return root;
    }

    private List<SocketAddressText> addresses() {
        if (!admin.isEmpty()) {
            return admin.stream()
                    .flatMap(text -> Arrays.stream(text.split(",")))
                    .map(FleetCommand::address)
                    .distinct()
                    .toList();
        }
        if (sheet != null) {
            return SheetFiles.sheet(sheet).hosts().values().stream()
                    .map(Host::admin)
                    .toList();
        }
        throw new UsageException("No host is named; give --admin IP:PORT, once or several times, or --sheet FILE.");
    }

    private static SocketAddressText address(String text) {
        try {
            return SocketAddressText.parse(text.strip());
        } catch (IllegalArgumentException e) {
            throw new UsageException(
                    "--admin is \"" + text + "\"; write IP:port of an admin port, for example 127.0.0.1:8082.");
        }
    }
}
