package org.guavathread.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** Runs the client in this process and captures its output. */
final class Cli {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private String input = "";
    private boolean interactive;
    private Map<String, String> environment = Map.of();

    Cli input(String text) {
        input = text;
        return this;
    }

    Cli interactive() {
        interactive = true;
        return this;
    }

    Cli environment(String name, String value) {
        environment = Map.of(name, value);
        return this;
    }

    int run(String... arguments) {
        Terminal terminal = Terminal.of(
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), stream(out), stream(err))
                .interactive(interactive);
        return Guavathread.commandLine(terminal, environment).run(arguments).code();
    }

    String out() {
        return out.toString(StandardCharsets.UTF_8);
    }

    String err() {
        return err.toString(StandardCharsets.UTF_8);
    }

    static String sheet(String name) {
        try {
            return Path.of(Cli.class.getResource("/sheets/" + name).toURI()).toString();
        } catch (URISyntaxException e) {
            throw new IllegalArgumentException("There is no test sheet " + name + ".", e);
        }
    }

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }
}
