package org.guavathread.core.sheet;

/**
 * One validation error in a sheet.
 *
 * @param pointer JSON pointer to the value, for example {@code "/hosts/2/peers"}; empty for the whole document; in a
 *     sheet of several parts it is preceded by the name of the part and {@code #}, for example
 *     {@code "sheet/2#/hosts/0/peers"}
 * @param message the invalid value, what is expected and how to correct it; never contains an API key
 */
public record SheetFault(String pointer, String message) {

    @Override
    public String toString() {
        return (pointer.isEmpty() ? "(whole document)" : pointer) + ": " + message;
    }
}
