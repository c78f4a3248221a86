package org.guavathread.cli.sheet;

import org.guavathread.cli.Command;
import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.UsageException;
import org.guavathread.core.sheet.KeyHash;

/** Prints the hash of an API key in the form that the sheet uses. */
@CommandSpec(
        name = "sheet hash-key",
        summary = "Prints the hash of an API key, as the sheet lists it.",
        synopsis = "",
        details = {
            "The key is the first line of standard input. It is no argument, because other users of the machine can see",
            "arguments and shells keep them in their history.",
        },
        example = "guavathread sheet hash-key < key.txt",
        exitCodes = {ExitCode.OK, ExitCode.USAGE})
public final class HashKeyCommand implements Command {

    @Override
    public ExitCode run(Terminal terminal) {
        String key = terminal.readSecret();
        if (key.isEmpty()) {
            throw new UsageException("Standard input holds no API key; write the key into its first line.");
        }
        terminal.out().println(KeyHash.ofKey(key));
        return ExitCode.OK;
    }

    @Override
    public boolean quotesArguments() {
        return false;
    }
}
