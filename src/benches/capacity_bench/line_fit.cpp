#include "line_fit.h"

#include <cmath>

namespace turmerichead::bench {

line_fit fitLine(std::span<const point> Points) {
  auto Count = static_cast<double>(Points.size());
  double MeanSize = 0;
  double MeanCost = 0;
  for (const point &Point : Points) {
    MeanSize += Point.Size / Count;
    MeanCost += Point.Cost / Count;
  }
  double SizeSpread = 0;
  double CostSpread = 0;
  double Common = 0;
  for (const point &Point : Points) {
    SizeSpread += (Point.Size - MeanSize) * (Point.Size - MeanSize);
    CostSpread += (Point.Cost - MeanCost) * (Point.Cost - MeanCost);
    Common += (Point.Size - MeanSize) * (Point.Cost - MeanCost);
  }
  line_fit Fit;
  Fit.Slope = Common / SizeSpread;
  Fit.Base = MeanCost - Fit.Slope * MeanSize;
  double Residual = 0;
  for (const point &Point : Points)
    Residual += std::pow(Point.Cost - Fit.at(Point.Size), 2);
  Fit.SlopeError = std::sqrt(Residual / (Count - 2) / SizeSpread);
  Fit.R2 = CostSpread > 0 ? 1 - Residual / CostSpread : 1;
  return Fit;
}

} // namespace turmerichead::bench
