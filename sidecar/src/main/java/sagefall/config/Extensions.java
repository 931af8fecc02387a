package sagefall.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.RequestClass;
import sagefall.leaderelection.LeaderElectionSettings;
import sagefall.persistence.PersistenceSettings;
import sagefall.streaming.StreamingSettings;

/**
 * The optional features that the file named by {@code LB_EXTENSIONS} enables, with one section for
 * each subsystem. The file belongs to the operators and is separate from the configuration of the
 * platform, so that its keys cannot clash with those of the platform.
 *
 * @param streaming section {@code streaming}
 * @param persistence section {@code recovery}: persistence of the endpoint list
 * @param leaderElection section {@code duties}: leader election
 */
public record Extensions(
        StreamingSettings streaming,
        PersistenceSettings persistence,
        LeaderElectionSettings leaderElection) {

    private static final String FILE_VARIABLE = "LB_EXTENSIONS";
    private static final String ROOT = "extensions";
    private static final String STREAMING = "streaming";
    private static final String PERSISTENCE = "recovery";
    private static final String LEADER_ELECTION = "duties";

    /** Extensions with all features disabled. Used if there is no extensions file. */
    static final Extensions NONE =
            new Extensions(
                    StreamingSettings.OFF, PersistenceSettings.OFF, LeaderElectionSettings.OFF);

    /** Reads the file that the environment names; returns {@link #NONE} if it names none. */
    static Extensions read(Map<String, String> environment, List<RequestClass> classes)
            throws ConfigException {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            return NONE;
        }
        // Without strict duplicate detection, the second value of a duplicate key would silently
        // replace the first.
        JsonFactory strict =
                JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
        return JsonFile.read(
                file, strict, object -> convert(new ConfigSection(ROOT, object), classes));
    }

    private static Extensions convert(ConfigSection root, List<RequestClass> classes)
            throws ConfigException {
        StreamingSettings streaming =
                root.has(STREAMING)
                        ? StreamingSettings.read(root.section(STREAMING), classes)
                        : StreamingSettings.OFF;
        PersistenceSettings persistence =
                root.has(PERSISTENCE)
                        ? PersistenceSettings.read(root.section(PERSISTENCE))
                        : PersistenceSettings.OFF;
        LeaderElectionSettings leaderElection =
                root.has(LEADER_ELECTION)
                        ? LeaderElectionSettings.read(root.section(LEADER_ELECTION))
                        : LeaderElectionSettings.OFF;
        root.rejectUnknownKeys();
        return new Extensions(streaming, persistence, leaderElection);
    }
}
