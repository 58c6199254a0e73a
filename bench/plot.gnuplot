# Plots the latency of two policies for each round, from a .data file of pimento-load or a bench program:
#   gnuplot -e "data='out/path-20.data'; image='out/path-20.svg'; a='tier'; b='direct'" bench/plot.gnuplot
set terminal svg size 800,480 background "white"
set output image
set xlabel "round"
set ylabel "latency, ms"
set yrange [0:*]
set key outside
set grid ytics
plot data using 1:2 with linespoints title a." p50", \
     data using 1:4 with linespoints title a." p99", \
     data using 1:5 with linespoints title b." p50", \
     data using 1:7 with linespoints title b." p99"
