package org.guavathread.cli;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.guavathread.core.sheet.NearestName;
import org.guavathread.router.settings.SettingException;
import org.guavathread.router.settings.SettingsParser;
import org.kohsuke.args4j.Option;

/**
 * Selects the subcommand that the arguments name, sets its options and runs it.
 *
 * <pre>{@code
 * ExitCode code = new CommandLine("guavathread", "0.1.0", Terminal.system(), System.getenv())
 *         .add(StatusCommand::new)
 *         .run(arguments);
 * }</pre>
 */
public final class CommandLine {

    private static final List<String> HELP_FLAGS = List.of("--help", "-h");

    private final String program;
    private final String version;
    private final Terminal terminal;
    private final Map<String, String> environment;
    private final Map<String, Supplier<Command>> commands = new LinkedHashMap<>();

    /**
     * Creates a command line without commands.
     *
     * @param program name of the program
     * @param version printed by {@code --version}
     * @param terminal standard streams of the process
     * @param environment environment variables that set options which are not given as arguments
     */
    public CommandLine(String program, String version, Terminal terminal, Map<String, String> environment) {
        this.program = program;
        this.version = version;
        this.terminal = terminal;
        this.environment = Map.copyOf(environment);
    }

    /** The option that all commands share. */
    private static final class HelpFlag {

        @Option(name = "--help", help = true, usage = "print this help and exit")
        private boolean help;
    }

    /**
     * Adds a command.
     *
     * @param command factory of the command, whose class carries {@link CommandSpec}
     * @return this command line
     */
    public CommandLine add(Supplier<Command> command) {
        commands.put(specOf(command.get()).name(), command);
        return this;
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param arguments the arguments without the program name
     * @return the exit code; all messages have been printed
     */
    public ExitCode run(String... arguments) {
        if (arguments.length == 0) {
            help().printProgram(terminal.err(), specs());
            return ExitCode.USAGE;
        }
        if (HELP_FLAGS.contains(arguments[0])) {
            help().printProgram(terminal.out(), specs());
            return ExitCode.OK;
        }
        if ("--version".equals(arguments[0])) {
            terminal.out().println(program + " " + version);
            return ExitCode.OK;
        }
        try {
            return runCommand(arguments);
        } catch (UsageException | SettingException e) {
            terminal.err().println(program + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private ExitCode runCommand(String[] arguments) {
        List<CommandSpec> group = group(arguments[0]);
        if (!group.isEmpty()) {
            return runGroup(arguments, group);
        }
        Supplier<Command> command = commands.get(arguments[0]);
        if (command == null) {
            throw unknownCommand(arguments[0], distinctFirstWords());
        }
        return parseAndRun(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private ExitCode runGroup(String[] arguments, List<CommandSpec> group) {
        if (arguments.length == 1) {
            help().printGroup(terminal.err(), arguments[0], group);
            return ExitCode.USAGE;
        }
        if (HELP_FLAGS.contains(arguments[1])) {
            help().printGroup(terminal.out(), arguments[0], group);
            return ExitCode.OK;
        }
        Supplier<Command> command = commands.get(arguments[0] + " " + arguments[1]);
        if (command == null) {
            List<String> names = group.stream().map(CommandSpec::name).toList();
            throw unknownCommand(arguments[0] + " " + arguments[1], names);
        }
        return parseAndRun(command.get(), Arrays.copyOfRange(arguments, 2, arguments.length));
    }

    private ExitCode parseAndRun(Command command, String[] arguments) {
        if (Arrays.stream(arguments).anyMatch(HELP_FLAGS::contains)) {
            help().printCommand(terminal.out(), specOf(command), command, new HelpFlag());
            return ExitCode.OK;
        }
        try {
            SettingsParser.parse(command, arguments, environment);
        } catch (SettingException e) {
            String name = specOf(command).name();
            String seeHelp = "see `" + program + " " + name + " --help`.";
            throw new UsageException(
                    command.quotesArguments()
                            ? name + ": " + e.getMessage().replace("see --help.", seeHelp)
                            : name + ": an argument is not allowed here (it is not shown, since it may be secret); "
                                    + seeHelp);
        }
        return command.run(terminal);
    }

    private UsageException unknownCommand(String typed, List<String> known) {
        String suggestion = NearestName.suggestion(typed, known);
        return new UsageException("There is no command \"" + typed + "\""
                + (suggestion.isEmpty() ? "; the commands are " + String.join(", ", known) + "." : suggestion)
                + " See `" + program + " --help`.");
    }

    private List<CommandSpec> group(String word) {
        return specs().stream()
                .filter(spec -> spec.name().startsWith(word + " "))
                .toList();
    }

    private List<String> distinctFirstWords() {
        return commands.keySet().stream()
                .map(name -> name.split(" ")[0])
                .distinct()
                .toList();
    }

    private List<CommandSpec> specs() {
        List<CommandSpec> specs = new ArrayList<>();
        commands.values().forEach(command -> specs.add(specOf(command.get())));
        return specs;
    }

    private Help help() {
        return new Help(program, terminal);
    }

    private static CommandSpec specOf(Command command) {
        CommandSpec spec = command.getClass().getAnnotation(CommandSpec.class);
        if (spec == null) {
            throw new IllegalArgumentException(command.getClass() + " lacks @CommandSpec; add the annotation.");
        }
        return spec;
    }
}
