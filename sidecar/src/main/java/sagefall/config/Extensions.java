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
 * What the file named by {@code LB_EXTENSIONS} switches on, a section for each subsystem. It is the
 * operators' own and stands beside the platform's configuration, so that none of its keys can clash
 * with one of the platform's.
 *
 * @param streaming the section {@code streaming}
 * @param persistence the section {@code recovery}: persistence of the endpoint list
 * @param leaderElection the section {@code duties}: leader election
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

    /** All off, as without the file. */
    static final Extensions NONE =
            new Extensions(
                    StreamingSettings.OFF, PersistenceSettings.OFF, LeaderElectionSettings.OFF);

    /** Reads the file, if the environment names one. */
    static Extensions read(Map<String, String> environment, List<RequestClass> classes)
            throws ConfigException {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            return NONE;
        }
        // A key that stands twice would silently lose the first value.
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
