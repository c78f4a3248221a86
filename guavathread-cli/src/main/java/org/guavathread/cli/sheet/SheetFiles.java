package org.guavathread.cli.sheet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.cli.UsageException;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SheetManifest;
import org.guavathread.core.sheet.SheetReadResult;
import org.guavathread.core.sheet.SheetReader;

/** Reads sheets from files. */
public final class SheetFiles {

    private SheetFiles() {}

    /**
     * Reads a sheet that consists of one document.
     *
     * @param file name of the file
     * @return the sheet
     * @throws UsageException if the file cannot be read or its sheet is not valid
     */
    public static Sheet sheet(String file) {
        SheetReadResult reading = SheetReader.read(bytes(file));
        if (reading instanceof SheetReadResult.Valid valid) {
            return valid.sheet();
        }
        if (reading instanceof SheetReadResult.Parts) {
            throw new UsageException(file + " is a manifest; join its parts into one sheet first.");
        }
        throw new UsageException(file + " holds no valid sheet; `guavathread sheet check " + file + "` lists why.");
    }

    /**
     * Reads a sheet of one document, or a manifest and its parts.
     *
     * @param files the sheet alone, or the manifest followed by its parts in the order of the manifest
     * @return the sheet, its faults, or the parts whose version differs from that of the manifest
     * @throws UsageException if a file cannot be read or the number of files is wrong
     */
    static SheetReadResult reading(List<String> files) {
        SheetReadResult first = SheetReader.read(bytes(files.get(0)));
        List<String> others = files.subList(1, files.size());
        if (first instanceof SheetReadResult.Parts parts) {
            return SheetReader.readParts(parts.manifest(), documents(parts.manifest(), files.get(0), others));
        }
        if (!others.isEmpty()) {
            throw new UsageException(files.get(0) + " is no manifest, so it has no parts; give " + others
                    + " to commands of their own.");
        }
        return first;
    }

    private static Map<String, byte[]> documents(SheetManifest manifest, String file, List<String> parts) {
        if (parts.size() != manifest.parts().size()) {
            throw new UsageException(
                    file + " is a manifest of " + manifest.parts().size() + " parts, but " + parts.size()
                            + " were given; give the files of " + manifest.parts() + " in this order.");
        }
        Map<String, byte[]> documents = new LinkedHashMap<>();
        for (int i = 0; i < parts.size(); i++) {
            documents.put(manifest.parts().get(i), bytes(parts.get(i)));
        }
        return documents;
    }

    private static byte[] bytes(String file) {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (NoSuchFileException e) {
            throw new UsageException("There is no file " + file + "; check the path.");
        } catch (IOException | InvalidPathException e) {
            throw new UsageException(
                    "The file " + file + " cannot be read (" + e.getMessage() + "); check its path and permissions.");
        }
    }
}
