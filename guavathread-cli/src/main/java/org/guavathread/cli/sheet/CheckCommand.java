package org.guavathread.cli.sheet;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.cli.Command;
import org.guavathread.cli.CommandSpec;
import org.guavathread.cli.ExitCode;
import org.guavathread.cli.Terminal;
import org.guavathread.cli.Terminal.Style;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetFault;
import org.guavathread.core.sheet.SheetReadResult;
import org.kohsuke.args4j.Argument;

/** Validates a sheet by the same rules as the daemons. */
@CommandSpec(
        name = "sheet check",
        summary = "Says whether the daemons would accept a sheet, and lists every fault with its JSON pointer.",
        synopsis = "FILE...",
        example = "guavathread sheet check sheet.json",
        exitCodes = {ExitCode.OK, ExitCode.NEGATIVE, ExitCode.USAGE})
public final class CheckCommand implements Command {

    @Argument(
            metaVar = "FILE...",
            required = true,
            usage = "a sheet, or a manifest followed by its parts in the order in which it names them")
    private List<String> files = new ArrayList<>();

    @Override
    public ExitCode run(Terminal terminal) {
        SheetReadResult reading = SheetFiles.reading(files);
        if (reading instanceof SheetReadResult.Valid valid) {
            terminal.out().println(terminal.styled(Style.GOOD, "valid") + ": " + summary(valid.sheet()));
            terminal.out().println("digest: " + valid.digest());
            return ExitCode.OK;
        }
        List<String> faults = faults(reading);
        faults.forEach(terminal.out()::println);
        terminal.out()
                .println(terminal.styled(Style.BAD, "invalid") + ": " + faults.size()
                        + (faults.size() == 1 ? " fault" : " faults") + " in " + files.get(0));
        return ExitCode.NEGATIVE;
    }

    private static List<String> faults(SheetReadResult reading) {
        if (reading instanceof SheetReadResult.Invalid invalid) {
            return invalid.faults().stream().map(SheetFault::toString).toList();
        }
        if (reading instanceof SheetReadResult.RetryParts retry) {
            return retry.parts().stream()
                    .map(part -> part + "#/version: The part does not carry version "
                            + retry.manifest().version() + " of the manifest; publish both with the same version.")
                    .toList();
        }
        throw new IllegalStateException("A sheet was read as " + reading + ", which is no result of a check.");
    }

    private static String summary(Sheet sheet) {
        return "version " + sheet.version() + ", " + sheet.hosts().size() + " hosts ("
                + sheet.activeHosts().size() + " active), "
                + sheet.workspaces().size() + " workspaces, "
                + sheet.models().size() + " models, "
                + sheet.backendServers().size() + " backend servers, "
                + sheet.routes().size() + " routes";
    }
}
