package org.guavathread.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.guavathread.cli.Terminal.Style;
import org.guavathread.router.settings.SettingsParser;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.ParserProperties;
import org.kohsuke.args4j.spi.OptionHandler;

/** Prints the help text of the program, of a command group or of a single command. */
final class Help {

    private final String program;
    private final Terminal terminal;

    Help(String program, Terminal terminal) {
        this.program = program;
        this.terminal = terminal;
    }

    private record HelpRow(String term, String description) {}

    void printProgram(PrintStream out, List<CommandSpec> specs) {
        heading(out, "Usage");
        out.println("  " + program + " COMMAND [OPTION...]");
        out.println("  " + program + " COMMAND --help");
        out.println("  " + program + " --version");
        out.println();
        out.println("Reads the state of a guavathread fleet, checks sheets and runs the demo. It changes nothing.");
        out.println();
        heading(out, "Commands");
        printCommands(out, specs);
        out.println();
        heading(out, "Options");
        printRows(
                out,
                List.of(
                        new HelpRow("--help", "print this help and exit"),
                        new HelpRow("--version", "print the version and exit")));
        out.println();
        printExitCodes(out, ExitCode.values());
        out.println();
        heading(out, "Example");
        out.println("  " + program + " status --admin 127.0.0.1:8082");
    }

    void printGroup(PrintStream out, String group, List<CommandSpec> specs) {
        heading(out, "Usage");
        specs.forEach(spec -> out.println("  " + program + " " + (spec.name() + " " + spec.synopsis()).strip()));
        out.println();
        heading(out, "Commands");
        printCommands(out, specs);
        out.println();
        out.println("`" + program + " " + group + " COMMAND --help` explains one of them.");
    }

    void printCommand(PrintStream out, CommandSpec spec, Object command, Object sharedOptions) {
        heading(out, "Usage");
        out.println("  " + program + " " + (spec.name() + " " + spec.synopsis()).strip());
        out.println();
        out.println(spec.summary());
        Arrays.stream(spec.details()).forEach(out::println);
        out.println();
        heading(out, "Options");
        List<HelpRow> rows = new ArrayList<>(rowsOf(command));
        rows.addAll(rowsOf(sharedOptions));
        printRows(out, rows);
        out.println("  Options that take a value can be set by variables, for example GUAVATHREAD_ADMIN for --admin.");
        out.println();
        printExitCodes(out, spec.exitCodes());
        out.println();
        heading(out, "Example");
        out.println("  " + spec.example());
    }

    private static List<HelpRow> rowsOf(Object bean) {
        CmdLineParser parser = SettingsParser.parserOf(bean);
        List<HelpRow> rows = new ArrayList<>();
        for (OptionHandler<?> handler : parser.getArguments()) {
            rows.add(new HelpRow(handler.option.metaVar(), usageOf(handler)));
        }
        for (OptionHandler<?> handler : parser.getOptions()) {
            rows.add(new HelpRow(handler.getNameAndMeta(null, ParserProperties.defaults()), usageOf(handler)));
        }
        return rows;
    }

    private static String usageOf(OptionHandler<?> handler) {
        OptionDef option = handler.option;
        String defaultValue = option.help() || option.isArgument() ? "" : handler.printDefaultValue();
        if (defaultValue == null
                || defaultValue.isEmpty()
                || "[]".equals(defaultValue)
                || "null".equals(defaultValue)) {
            return option.usage();
        }
        return option.usage() + " (default: " + ("false".equals(defaultValue) ? "off" : defaultValue) + ")";
    }

    private void printCommands(PrintStream out, List<CommandSpec> specs) {
        printRows(
                out,
                specs.stream()
                        .map(spec -> new HelpRow(spec.name(), spec.summary()))
                        .toList());
    }

    private static void printRows(PrintStream out, List<HelpRow> rows) {
        int width = rows.stream().mapToInt(row -> row.term().length()).max().orElse(1);
        rows.forEach(row -> out.printf("  %-" + width + "s  %s%n", row.term(), row.description()));
    }

    private void printExitCodes(PrintStream out, ExitCode... codes) {
        heading(out, "Exit codes");
        Arrays.stream(codes).forEach(code -> out.println("  " + code.code() + "  " + code.meaning()));
    }

    private void heading(PrintStream out, String text) {
        out.println(terminal.styled(Style.BOLD, text + ":"));
    }
}
