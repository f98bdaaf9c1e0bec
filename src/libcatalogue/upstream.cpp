#include "turmerichead/catalogue.h"

#include "field_pvt.h"

namespace turmerichead {

std::string_view nameOf(upstream_kind Kind) {
  return Kind == upstream_kind::Runner ? "runner" : "service";
}

std::string_view nameOf(upstream_phase Phase) {
  return Phase == upstream_phase::Live ? "live" : "leaving";
}

namespace {

/// An upstream as its fields are written; enums are still texts.
struct upstream_text {
  std::string Kind;
  ip_endpoint Address;
  std::vector<std::string> Models;
  std::string Service;
  std::string DataCentre;
  std::int64_t Slots = 0;
  bool ChecksFencing = false;
  std::string Phase;
};

std::vector<pvt::field<upstream_text>> upstreamFields() {
  using namespace pvt;
  using text = upstream_text;
  return {
      bind<text, &text::Kind>({.Key = "spec.kind",
                               .Text = "",
                               .Required = true,
                               .Choices = "runner|service"}),
      bind<text, &text::Address>(
          {.Key = "spec.address", .Text = "", .Required = true}),
      bind<text, &text::Models>({.Key = "spec.models",
                                 .Text = "",
                                 .Max = 1'024,
                                 .Format = text_format::Model}),
      bind<text, &text::Service>(
          {.Key = "spec.service", .Text = "", .Format = text_format::Name}),
      bind<text, &text::DataCentre>(
          {.Key = "spec.data_centre", .Text = "", .Format = text_format::Name}),
      bind<text, &text::Slots>({.Key = "spec.slots",
                                .Text = "",
                                .Default = "16",
                                .Min = 1,
                                .Max = 100'000}),
      bind<text, &text::ChecksFencing>(
          {.Key = "spec.checks_fencing", .Text = "", .Default = "false"}),
      bind<text, &text::Phase>({.Key = "status.phase",
                                .Text = "",
                                .Default = "live",
                                .Choices = "live|leaving"}),
  };
}

} // namespace

// Unknown keys are let pass: the platform's other users may add their own.
std::optional<upstream_object> upstreamFromJson(std::string_view Name,
                                                const nlohmann::json &Spec,
                                                const nlohmann::json &Status,
                                                std::string_view Source,
                                                findings &Findings) {
  nlohmann::json Root = {{"spec", Spec}};
  if (!Status.is_null())
    Root["status"] = Status;
  pvt::place_map Places{std::string(Source)};
  findings Own;
  upstream_text Text;
  pvt::readFields(upstreamFields(), Root, Places, Own, Text);
  if (Text.Kind == "runner" && Text.Models.empty())
    Own.add(Places.at("spec.models"), "a runner must name a model");
  if (Text.Kind == "service" && Text.Service.empty())
    Own.add(Places.at("spec.service"), "a service must be named");
  for (const finding &Row : Own.rows())
    Findings.add(Row.Place, Row.Text);
  if (!Own.empty())
    return std::nullopt;

  upstream_object Result;
  Result.Name = Name;
  Result.Kind =
      Text.Kind == "runner" ? upstream_kind::Runner : upstream_kind::Service;
  Result.Address = Text.Address;
  Result.Models = std::move(Text.Models);
  Result.Service = std::move(Text.Service);
  Result.DataCentre = std::move(Text.DataCentre);
  Result.Slots = Text.Slots;
  Result.ChecksFencing = Text.ChecksFencing;
  Result.Phase =
      Text.Phase == "leaving" ? upstream_phase::Leaving : upstream_phase::Live;
  return Result;
}

} // namespace turmerichead
