package sagefall.load;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads memory, file descriptors and processor time of a Java process from {@code /proc} and from
 * its JVM.
 */
public final class ProcessStatistics {

    private static final long KIB_PER_MIB = 1024;
    private static final Pattern GENERATION =
            Pattern.compile("(?:new generation|tenured generation)\\s+total \\d+K, used (\\d+)K");

    private final Process process;

    ProcessStatistics(Process process) {
        this.process = process;
    }

    /**
     * Returns an amount of memory in KiB, such as VmRSS, from the {@code status} file of the
     * process in {@code /proc}.
     *
     * @return the amount; -1 if the file has no line of that name
     */
    public long statusKib(String name) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith(name + ":")) {
                return Long.parseLong(line.replaceAll("\\D+", ""));
            }
        }
        return -1;
    }

    /** Returns the number of open file descriptors. */
    public int openDescriptors() throws IOException {
        int count = 0;
        try (DirectoryStream<Path> all =
                Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/fd"))) {
            for (Path ignored : all) {
                count++;
            }
        }
        return count;
    }

    /** Returns the processor time that the process has used so far. */
    long cpuMillis() {
        return process.toHandle().info().totalCpuDuration().orElseThrow().toMillis();
    }

    /** Returns the used heap of all generations, as {@code jcmd} reports it, in MiB with unit. */
    private String usedHeap() throws IOException, InterruptedException {
        Process jcmd =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                                String.valueOf(process.pid()),
                                "GC.heap_info")
                        .redirectErrorStream(true)
                        .start();
        String text;
        try (InputStream in = jcmd.getInputStream()) {
            text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
        jcmd.waitFor();
        long used = 0;
        Matcher generation = GENERATION.matcher(text);
        while (generation.find()) {
            used += Long.parseLong(generation.group(1));
        }
        return used / KIB_PER_MIB + " MiB";
    }

    /**
     * Prints memory and descriptors.
     *
     * @param when text that describes the time of the measurement, such as "before"
     */
    void print(String when) throws IOException, InterruptedException {
        System.out.printf(
                "  %-22s RSS %d MiB, heap %s, descriptors %d%n",
                when, statusKib("VmRSS") / KIB_PER_MIB, usedHeap(), openDescriptors());
    }
}
