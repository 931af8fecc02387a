package sagefall.report;

import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.List;
import javax.imageio.ImageIO;

/**
 * Rows of values over the seconds of a day, as a picture within the page: a cell for each second.
 */
final class HeatMap {

    private static final int DOWN = 0x111111;

    private HeatMap() {}

    /**
     * @param rows by row and second; below 0 is drawn black: nothing is there
     * @param most the value of the darkest red
     * @param names of the rows, or of groups of them
     * @param sizes how many rows each name is for
     */
    static String picture(
            String title,
            double[][] rows,
            double most,
            List<String> names,
            int[] sizes,
            String legend) {
        int height = rows.length;
        int width = rows[0].length;
        BufferedImage image = new BufferedImage(width, height, BufferedImage.TYPE_INT_RGB);
        for (int y = 0; y < height; y++) {
            for (int x = 0; x < width; x++) {
                image.setRGB(x, y, rows[y][x] < 0 ? DOWN : colour(Math.min(1, rows[y][x] / most)));
            }
        }
        ByteArrayOutputStream png = new ByteArrayOutputStream();
        try {
            ImageIO.write(image, "png", png);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        StringBuilder rowNames = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            rowNames.append("<span style='flex:")
                    .append(sizes[i])
                    .append("'>")
                    .append(names.get(i))
                    .append("</span>");
        }
        return "<figure><div class='title'>"
                + title
                + "</div><div class='heat'><div class='rows'>"
                + rowNames
                + "</div><img alt='"
                + title
                + "' style='height:"
                + Math.min(420, Math.max(80, 20 * height))
                + "px' src='data:image/png;base64,"
                + Base64.getEncoder().encodeToString(png.toByteArray())
                + "'></div><figcaption>"
                + legend
                + "</figcaption></figure>\n";
    }

    /** From white over yellow to red. */
    private static int colour(double part) {
        int green = (int) (part < 0.5 ? 250 - 100 * part : 200 * 2 * (1 - part));
        int blue = (int) (235 * Math.max(0, 1 - 2 * part));
        int lessRed = (int) (0x38 * Math.max(0, part - 0.5) * 2);
        return (0xff0000 - lessRed * 0x10000) | green << 8 | blue;
    }
}
