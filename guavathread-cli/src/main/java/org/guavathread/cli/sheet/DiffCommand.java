package org.guavathread.cli.sheet;

import java.util.List;

import org.guavathread.cli.Command;
import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.Terminal.Style;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetChange;
import org.guavathread.core.sheet.SheetDiff;
import org.kohsuke.args4j.Argument;

/** Lists the differences between two versions of a sheet. */
@CommandSpec(
        name = "sheet diff",
        summary = "Lists what a new version of a sheet changes, and whether it starts a new host epoch.",
        synopsis = "OLD NEW",
        details = {
            "A new host epoch moves home hosts, claim voters and cell owners; the new owners act after about 10 s.",
        },
        example = "guavathread sheet diff in-force.json next.json",
        exitCodes = {ExitCode.OK, ExitCode.USAGE})
public final class DiffCommand implements Command {

    @Argument(index = 0, metaVar = "OLD", required = true, usage = "file with the sheet in force")
    private String before;

    @Argument(index = 1, metaVar = "NEW", required = true, usage = "file with the next sheet")
    private String after;

    @Override
    public ExitCode run(Terminal terminal) {
        Sheet old = SheetFiles.sheet(before);
        Sheet next = SheetFiles.sheet(after);
        terminal.out().println("version " + old.version() + " -> " + next.version());
        List<SheetChange> changes = SheetDiff.between(old, next);
        changes.forEach(change -> terminal.out().println("  " + coloured(terminal, change)));
        if (changes.isEmpty()) {
            terminal.out().println("  nothing else changes");
        }
        terminal.out().println(epoch(old, next));
        if (next.version().value() <= old.version().value()) {
            terminal.out()
                    .println(terminal.styled(
                            Style.WARNING,
                            "The new version is not above the old one, so no daemon would accept it; raise it."));
        }
        return ExitCode.OK;
    }

    private static String epoch(Sheet old, Sheet next) {
        return SheetDiff.startsEpoch(old, next)
                ? "A new host epoch starts: " + next.version() + "."
                : "No new host epoch starts.";
    }

    private static String coloured(Terminal terminal, SheetChange change) {
        return switch (change.kind()) {
            case ADDED -> terminal.styled(Style.GOOD, "+ " + change);
            case REMOVED -> terminal.styled(Style.BAD, "- " + change);
            case CHANGED -> terminal.styled(Style.WARNING, "~ " + change);
        };
    }
}
