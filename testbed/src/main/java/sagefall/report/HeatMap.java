package sagefall.report;

import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import javax.imageio.ImageIO;

/**
 * Draws rows of values over the seconds of a run as an image that is embedded in the HTML report.
 */
final class HeatMap {

    private static final int NO_VALUE_COLOUR = 0x111111;
    private static final int MIN_HEIGHT = 80;
    private static final int MAX_HEIGHT = 420;
    private static final int ROW_HEIGHT = 20;

    /**
     * Groups of adjacent rows, from the top.
     *
     * @param names names of the groups
     * @param sizes number of rows of each group
     */
    record RowGroups(List<String> names, int[] sizes) {}

    private HeatMap() {}

    /**
     * Returns a heat map as HTML. The image has a row for each row of values and a column for each
     * second.
     *
     * @param title title of the heat map, as HTML
     * @param rows values by row and second; a value below 0 stands for a missing value and is drawn
     *     in black
     * @param max end of the colour scale; this value and all greater values are drawn in the
     *     darkest red
     * @param groups groups of rows, with the names that are written beside them
     * @param legend explanation of the colours, as HTML
     */
    static String figure(
            String title, double[][] rows, double max, RowGroups groups, String legend) {
        int height = Math.min(MAX_HEIGHT, Math.max(MIN_HEIGHT, ROW_HEIGHT * rows.length));
        return "<figure><div class='title'>"
                + title
                + "</div><div class='heat'><div class='rows'>"
                + rowNames(groups)
                + "</div><img alt='"
                + title
                + "' style='height:"
                + height
                + "px' src='data:image/png;base64,"
                + Base64.getEncoder().encodeToString(png(rows, max))
                + "'></div><figcaption>"
                + legend
                + "</figcaption></figure>\n";
    }

    private static byte[] png(double[][] rows, double max) {
        int height = rows.length;
        int width = rows[0].length;
        BufferedImage image = new BufferedImage(width, height, BufferedImage.TYPE_INT_RGB);
        for (int y = 0; y < height; y++) {
            for (int x = 0; x < width; x++) {
                double value = rows[y][x];
                image.setRGB(x, y, value < 0 ? NO_VALUE_COLOUR : colour(Math.min(1, value / max)));
            }
        }
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        try {
            ImageIO.write(image, "png", png);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return png.toByteArray();
    }

    private static String rowNames(RowGroups groups) {
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < groups.names.size(); i++) {
            names.append("<span style='flex:")
                    .append(groups.sizes[i])
                    .append("'>")
                    .append(groups.names.get(i))
                    .append("</span>");
        }
        return names.toString();
    }

    /**
     * Returns the RGB colour of a share. The colour is nearly white at 0, yellow at 0.5 and dark
     * red at 1.
     */
    private static int colour(double share) {
        int green = (int) (share < 0.5 ? 250 - 100 * share : 200 * 2 * (1 - share));
        int blue = (int) (235 * Math.max(0, 1 - 2 * share));
        int redReduction = (int) (0x38 * Math.max(0, share - 0.5) * 2);
        return (0xff0000 - redReduction * 0x10000) | green << 8 | blue;
    }
}
