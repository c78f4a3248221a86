package org.guavathread.cli;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CommandLineTest {

    private final Cli cli = new Cli();

    /** Guards against a mistyped command that gets the whole help text instead of a suggestion. */
    @ParameterizedTest
    @CsvSource({"statsu,status", "backend,backends", "sheet chek,sheet check", "shet,sheet"})
    void suggestsCommand(String typed, String suggested) {
        assertEquals(2, cli.run(typed.split(" ")));
        assertTrue(cli.err().contains("did you mean \"" + suggested + "\"?"), cli.err());
    }

    /** Guards against a usage error that exits with success or with the code for an unreachable host. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "sheet",
                "sheet check",
                "sheet diff one.json",
                "status",
                "status --admin localhost:1",
                "status --admin 127.0.0.1",
                "status --colour",
                "explain --admin 127.0.0.1:1",
                "explain --admin 127.0.0.1:1 --route a --workspace b",
                "frobnicate"
            })
    void endsWithUsageCode(String arguments) {
        assertEquals(2, arguments.isEmpty() ? cli.run() : cli.run(arguments.split(" ")));
        assertFalse(cli.err().isBlank());
        assertEquals("", cli.out());
    }

    /** Guards against a usage error that does not quote the invalid value. */
    @Test
    void namesOffendingValue() {
        cli.run("status", "--admin", "localhost:8082");
        assertTrue(cli.err().contains("--admin is \"localhost:8082\"; write IP:port"), cli.err());
    }

    /** Guards against a command whose help text lacks a section, or has lines over 120 columns or escape codes. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "status",
                "workspaces",
                "backends",
                "audit",
                "explain",
                "demo",
                "sheet check",
                "sheet diff",
                "sheet hash-key"
            })
    void explainsCommand(String command) {
        assertEquals(0, cli.run((command + " --help").split(" ")));
        for (String part : new String[] {"Usage:\n  guavathread " + command, "Options:", "Exit codes:", "Example:"}) {
            assertTrue(cli.out().contains(part), cli.out());
        }
        assertTrue(cli.out().contains("--help"), cli.out());
        assertFalse(cli.out().contains("\u001b"), "escape codes although the output is no terminal");
        assertTrue(cli.out().lines().allMatch(line -> line.length() <= 120), cli.out());
    }

    /** Guards against a command that the help text does not list. */
    @Test
    void listsCommands() {
        assertEquals(0, cli.run("--help"));
        assertTrue(cli.out().contains("  status"), cli.out());
        assertTrue(cli.out().contains("  sheet hash-key"), cli.out());
        assertEquals(0, cli.run("--version"));
        assertTrue(cli.out().contains("guavathread 0.1.0"), cli.out());
    }
}
