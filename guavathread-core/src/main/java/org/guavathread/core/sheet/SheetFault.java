package org.guavathread.core.sheet;

/**
 * One reason why a sheet is rejected.
 *
 * @param pointer JSON pointer to the value, for example {@code "/hosts/2/peers"}; empty for the whole document; in a
 *     sheet of several parts it is preceded by the name of the part and {@code #}, for example
 *     {@code "sheet/2#/hosts/0/peers"}
 * @param message the offending value, what is expected and what to do; it never holds an API key
 */
public record SheetFault(String pointer, String message) {

    @Override
    public String toString() {
        return (pointer.isEmpty() ? "(whole document)" : pointer) + ": " + message;
    }
}
