package org.guavathread.cli.fleet;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.guavathread.cli.Terminal;
import org.guavathread.cli.Terminal.Style;

/**
 * A table with left-aligned columns, each as wide as its longest cell.
 *
 * <pre>{@code
 * new TextTable("HOST", "READY").row("curico-1", "yes").print(terminal);
 * }</pre>
 */
final class TextTable {

    private static final String GAP = "  ";

    private final List<String> headings;
    private final List<List<Object>> rows = new ArrayList<>();

    TextTable(String... headings) {
        this.headings = List.of(headings);
    }

    TextTable row(Object... cells) {
        rows.add(Arrays.asList(cells));
        return this;
    }

    void print(Terminal terminal) {
        PrintStream out = terminal.out();
        out.println(terminal.styled(Style.BOLD, line(headings)));
        rows.forEach(row -> out.println(line(row)));
    }

    private String line(List<?> cells) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < cells.size(); column++) {
            String text = String.valueOf(cells.get(column));
            line.append(text);
            if (column < cells.size() - 1) {
                line.append(" ".repeat(width(column) - text.length())).append(GAP);
            }
        }
        return line.toString();
    }

    private int width(int column) {
        return rows.stream()
                .filter(row -> row.size() > column)
                .mapToInt(row -> String.valueOf(row.get(column)).length())
                .reduce(headings.get(column).length(), Math::max);
    }
}
