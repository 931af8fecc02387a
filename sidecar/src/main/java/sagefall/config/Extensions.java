package sagefall.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.RequestClass;
import sagefall.leaderelection.LeaderElectionSettings;
import sagefall.persistence.PersistenceSettings;
import sagefall.streaming.StreamingSettings;

/**
 * What the file named by {@code LB_EXTENSIONS} switches on, a section for each subsystem. It is the
 * operators' own and stands beside the platform's configuration, so that none of its names can meet
 * one of the platform's.
 */
public record Extensions(
        StreamingSettings streaming, PersistenceSettings recovery, LeaderElectionSettings duties) {

    static final Extensions NONE =
            new Extensions(
                    StreamingSettings.OFF, PersistenceSettings.OFF, LeaderElectionSettings.OFF);

    /** Reads the file, if one is named; the exception's message is one plain line. */
    static Extensions read(Map<String, String> environment, List<RequestClass> classes)
            throws IOException {
        String file = environment.get("LB_EXTENSIONS");
        if (file == null || file.isEmpty()) {
            return NONE;
        }
        // A name that stands twice would silently lose the first.
        JsonFactory strict =
                JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
        return JsonFile.read(
                file,
                strict,
                sections -> {
                    ConfigSection all = new ConfigSection("extensions", sections);
                    StreamingSettings streaming =
                            sections.containsKey("streaming")
                                    ? StreamingSettings.read(all.section("streaming"), classes)
                                    : StreamingSettings.OFF;
                    PersistenceSettings recovery =
                            sections.containsKey("recovery")
                                    ? PersistenceSettings.read(all.section("recovery"))
                                    : PersistenceSettings.OFF;
                    LeaderElectionSettings duties =
                            sections.containsKey("duties")
                                    ? LeaderElectionSettings.read(all.section("duties"))
                                    : LeaderElectionSettings.OFF;
                    all.rejectUnknownKeys();
                    return new Extensions(streaming, recovery, duties);
                });
    }
}
