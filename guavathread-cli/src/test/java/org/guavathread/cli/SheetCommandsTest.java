package org.guavathread.cli;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SheetCommandsTest {

    private final Cli cli = new Cli();

    /** Guards against a check that rejects what the daemons accept. */
    @Test
    void acceptsValidSheet() {
        assertEquals(0, cli.run("sheet", "check", Cli.sheet("valid.json")));
        assertTrue(cli.out().startsWith("valid: version 41, 2 hosts (2 active), 1 workspaces"), cli.out());
    }

    /** Guards against a check that stops at the first fault, or does not say where a fault is. */
    @Test
    void listsEveryFaultWithItsPointer() {
        assertEquals(1, cli.run("sheet", "check", Cli.sheet("invalid.json")));
        assertTrue(cli.out().contains("/hosts/1/peers: \"talca:8091\""), cli.out());
        assertTrue(cli.out().contains("/routes/0/kind: "), cli.out());
        assertTrue(cli.out().contains("/workspaces/0/rat: "), cli.out());
        assertTrue(cli.out().contains("invalid: 3 faults"), cli.out());
    }

    /** Guards against a sheet of several parts that cannot be checked before it is published. */
    @Test
    void checksManifestWithItsParts() {
        int code = cli.run(
                "sheet", "check", Cli.sheet("manifest.json"), Cli.sheet("part-1.json"), Cli.sheet("part-2.json"));
        assertEquals(0, code, cli.out());
    }

    /** Guards against parts of different versions that are accepted as one sheet. */
    @Test
    void namesPartOfAnotherVersion() {
        int code = cli.run(
                "sheet", "check", Cli.sheet("manifest.json"), Cli.sheet("part-1.json"), Cli.sheet("part-2-old.json"));
        assertEquals(1, code);
        assertTrue(cli.out().contains("sheet/2#/version: "), cli.out());
    }

    /** Guards against a manifest that counts as valid although its parts were not read. */
    @Test
    void requiresPartsOfManifest() {
        assertEquals(2, cli.run("sheet", "check", Cli.sheet("manifest.json")));
        assertTrue(cli.err().contains("[sheet/1, sheet/2]"), cli.err());
    }

    /** Guards against additional files that are silently ignored. */
    @Test
    void refusesPartsOfWholeSheet() {
        assertEquals(2, cli.run("sheet", "check", Cli.sheet("valid.json"), Cli.sheet("part-1.json")));
        assertTrue(cli.err().contains("is no manifest"), cli.err());
    }

    /** Guards against a missing file that is reported as an invalid sheet, which has another exit code. */
    @Test
    void namesMissingFile() {
        assertEquals(2, cli.run("sheet", "check", "no-such-sheet.json"));
        assertTrue(cli.err().contains("no file no-such-sheet.json"), cli.err());
    }

    /** Guards against a diff that omits a withdrawn key, or reports a new epoch although no owner changes. */
    @Test
    void listsChangesWithoutNewEpoch() {
        assertEquals(0, cli.run("sheet", "diff", Cli.sheet("valid.json"), Cli.sheet("same-hosts.json")));
        assertTrue(cli.out().contains("version 41 -> 42"), cli.out());
        assertTrue(cli.out().contains("~ workspace orchards: rate 2000 -> 3000"), cli.out());
        assertTrue(cli.out().contains("- API key of workspace orchards removed: sha256:aaaa"), cli.out());
        assertTrue(cli.out().contains("No new host epoch starts."), cli.out());
    }

    /** Guards against a diff that lists a leaving host but not the new epoch, in which owners change. */
    @Test
    void reportsNewEpoch() {
        assertEquals(0, cli.run("sheet", "diff", Cli.sheet("valid.json"), Cli.sheet("host-leaves.json")));
        assertTrue(cli.out().contains("A new host epoch starts: 43."), cli.out());
        assertFalse(cli.out().contains("not above"), cli.out());
    }

    /** Guards against a missing warning for a sheet that no daemon accepts because its version does not increase. */
    @Test
    void warnsOfVersionThatDoesNotIncrease() {
        assertEquals(0, cli.run("sheet", "diff", Cli.sheet("same-hosts.json"), Cli.sheet("valid.json")));
        assertTrue(cli.out().contains("not above the old one"), cli.out());
    }

    /** Guards against hashes that differ from those of the daemon; the expected value is the SHA-256 of the input. */
    @Test
    void hashesKeyFromInput() {
        assertEquals(0, cli.input("abc\n").run("sheet", "hash-key"));
        assertEquals(
                "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
                cli.out().strip());
    }

    /** Guards against a key that leaks into a log through a usage error. */
    @Test
    void neverShowsKeyGivenAsArgument() {
        assertEquals(2, cli.run("sheet", "hash-key", "secret-key"));
        assertEquals(2, cli.run("sheet", "hash-key", "--secret-key"));
        assertFalse((cli.out() + cli.err()).contains("secret-key"), cli.err());
    }

    /** Guards against the hash of an empty key, which a caller without a key would match. */
    @Test
    void refusesEmptyInput() {
        assertEquals(2, cli.run("sheet", "hash-key"));
        assertTrue(cli.err().contains("holds no API key"), cli.err());
    }
}
